"""Handler that validates a document without storing it."""

from typing import Final

from gypsumpier.administration.handler import AdministrationHandler
from gypsumpier.administration.view import RefusalView, ValidationView
from gypsumpier.boundedbody import BoundedBody
from gypsumpier.codes.setting import ADMINISTRATION_BODY_TOO_LARGE
from gypsumpier.document import validator
from gypsumpier.document.errors import DocumentError

DOCUMENT_LIMIT_BYTES: Final = 1024 * 1024


class ValidationHandler(BoundedBody, AdministrationHandler):
    """Validates the document in the body with the validator that the document table uses."""

    def prepare(self) -> None:
        """Limit the size of the body before it is read."""
        self.set_body_limit(DOCUMENT_LIMIT_BYTES, ADMINISTRATION_BODY_TOO_LARGE)

    def post(self) -> None:
        """Answer a ValidationView; the status is 200 for a refused document, too."""
        try:
            validator.parse(self.whole_body())
        except DocumentError as error:
            self.answer(ValidationView(accepted=False, refusal=refusal(error)))
            return
        self.answer(ValidationView(accepted=True, refusal=None))


def refusal(error: DocumentError) -> RefusalView:
    """Return the view of a refusal."""
    return RefusalView(
        code=error.code.number, name=error.code.name, field=error.path, detail=error.detail
    )
