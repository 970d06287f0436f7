"""The refusal of one revision of a document."""

from gypsumpier.codes.result import ResultCode
from gypsumpier.errors import GypsumpierError


class DocumentError(GypsumpierError):
    """A refused document; ``path`` locates the field, such as ``versions[1].share_percent``."""

    def __init__(self, code: ResultCode, path: str, detail: str) -> None:
        super().__init__(code, f"{path or 'document'}: {detail}")
        self.path = path
