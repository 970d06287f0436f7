"""The page that validates a document without keeping it."""

from gypsumpier.administration.handler import AdministrationHandler
from gypsumpier.administration.view import RefusalView, ValidationView
from gypsumpier.document import validator
from gypsumpier.document.errors import DocumentError


class ValidationHandler(AdministrationHandler):
    """Validates the document in the body, by the same function that accepts documents."""

    def post(self) -> None:
        """Answer a ValidationView; a refused document is still a successful validation."""
        try:
            validator.parse(self.request.body)
        except DocumentError as error:
            self.answer(ValidationView(accepted=False, refusal=refusal(error)))
            return
        self.answer(ValidationView(accepted=True, refusal=None))


def refusal(error: DocumentError) -> RefusalView:
    """Return the JSON of a refusal."""
    return RefusalView(
        code=error.code.number, name=error.code.name, field=error.path, detail=error.detail
    )
