"""Result codes of the platform's services, 6000 to 6999."""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

PLATFORM_UNREACHABLE: Final = ResultCode(
    6001, "platform_unreachable", 502, Outcome.UNKNOWN, "The last accepted state stays in use."
)
PLATFORM_REFUSED: Final = ResultCode(
    6002, "platform_refused", 503, Outcome.NOT_RUN, "Asked again after the stated time."
)
PLATFORM_BAD_ANSWER: Final = ResultCode(
    6003, "platform_bad_answer", 502, Outcome.UNKNOWN, "The answer is dropped."
)
ORDER_FENCED: Final = ResultCode(
    6004, "order_fenced", 409, Outcome.NOT_RUN, "A newer order has been taken; decide again."
)
HISTORY_GONE: Final = ResultCode(
    6005, "history_gone", 410, Outcome.NOT_RUN, "Everything is read anew."
)
