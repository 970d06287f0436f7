"""The engines' answers, a pure function of the version and the prompt.

A checker can therefore verify that an answer is complete and comes from the requested version.
"""

import hashlib
from typing import Any, Final

MIN_TOKENS: Final = 8
MAX_TOKENS: Final = 40


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt of a request's body: its ``prompt``, or its messages joined by newlines."""
    if "prompt" in body:
        return str(body["prompt"])
    return "\n".join(str(message.get("content", "")) for message in body.get("messages", []))


def answer(version: str, prompt: str, max_tokens: int | None = None) -> list[str]:
    """Return the tokens of the whole answer, exactly ``max_tokens`` where given."""
    seed = hashlib.sha256(f"{version}\0{prompt}".encode()).digest()
    count = MIN_TOKENS + seed[0] % (MAX_TOKENS - MIN_TOKENS + 1)
    count = count if max_tokens is None else max_tokens
    return [token(seed, position) for position in range(count)]


def answer_text(version: str, body: dict[str, Any]) -> str:
    """Return the text of the whole answer to a request's body."""
    return "".join(answer(version, prompt_of(body), body.get("max_tokens")))


def token(seed: bytes, position: int) -> str:
    """Return one token of the answer."""
    return hashlib.sha256(seed + position.to_bytes(4, "big")).hexdigest()[:4] + " "
