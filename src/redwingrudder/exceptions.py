"""Errors of the library, each with a stable code.

Every error carries the HTTP status that the front end answers with and the
exit code of the command line. Callers match on ``code``; the text of
``detail`` may change between releases.
"""


class RedwingrudderError(Exception):
    """Base of all errors raised by this library.

    Args:
        detail: What was found and what is allowed, for a person to read.
        code: Overrides the code of the class when one class has several.
        retry_after_s: Seconds after which a retry is worthwhile, if known.
    """

    code = "internal_error"
    http_status = 500
    exit_code = 70

    def __init__(
        self,
        detail: str,
        *,
        code: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after_s = retry_after_s
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        return f"{self.code}: {self.detail}"


class BadRequestError(RedwingrudderError):
    """The request itself is malformed or has a value out of range."""

    code = "bad_request"
    http_status = 400
    exit_code = 2


class UnprocessableError(BadRequestError):
    """The request is well formed but can never be carried out."""

    code = "unprocessable"
    http_status = 422


class InvalidConfigurationError(UnprocessableError):
    """The operators' document cannot be used; ``problems`` holds all."""

    code = "invalid_configuration"

    def __init__(self, detail: str, problems: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.problems = problems


class PayloadTooLargeError(BadRequestError):
    """A body, frame or value exceeds its limit."""

    code = "payload_too_large"
    http_status = 413


class MethodNotAllowedError(BadRequestError):
    """The resource exists but does not support the method."""

    code = "method_not_allowed"
    http_status = 405


class UnsupportedMediaTypeError(BadRequestError):
    """The body is not of the type that the resource takes."""

    code = "unsupported_media_type"
    http_status = 415


class PreconditionRequiredError(BadRequestError):
    """A change was sent without the version that it is based on."""

    code = "precondition_required"
    http_status = 428


class InvalidBodyError(BadRequestError):
    """The body has wrong fields; ``problems`` holds every finding."""

    code = "invalid_body"

    def __init__(self, detail: str, problems: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.problems = problems


class SettingsError(RedwingrudderError):
    """A settings file cannot be used; ``problems`` holds every finding."""

    code = "invalid_settings"
    http_status = 400
    exit_code = 3

    def __init__(
        self,
        detail: str,
        problems: tuple[str, ...] = (),
        *,
        code: str | None = None,
    ) -> None:
        super().__init__(detail, code=code)
        self.problems = problems


class ChartError(RedwingrudderError):
    """A state chart file is invalid; the text names file and line."""

    code = "invalid_chart"
    exit_code = 3


class UnexpectedEventError(RedwingrudderError):
    """An event arrived in a state whose chart does not list it."""

    code = "unexpected_event"


class NotFoundError(RedwingrudderError):
    """The named job, organisation or class does not exist."""

    code = "not_found"
    http_status = 404
    exit_code = 4


class ResultExpiredError(NotFoundError):
    """The job succeeded but its results are no longer kept."""

    code = "result_expired"
    http_status = 410


class ConflictError(RedwingrudderError):
    """The request contradicts what is already recorded."""

    code = "conflict"
    http_status = 409
    exit_code = 5


class StaleEpochError(ConflictError):
    """A command carried an epoch lower than the highest one seen."""

    code = "stale_epoch"


class UnavailableError(RedwingrudderError):
    """A part that the request needs cannot be reached; nothing was run."""

    code = "unavailable"
    http_status = 503
    exit_code = 6


class StoreUnavailableError(UnavailableError):
    """The platform store cannot be reached."""

    code = "store_unavailable"


class OutcomeUnknownError(UnavailableError):
    """The request was sent on but its effect cannot be known."""

    code = "outcome_unknown"


class OverloadedError(RedwingrudderError):
    """A bounded queue or budget is full; nothing was run."""

    code = "overloaded"
    http_status = 429
    exit_code = 7


class MailboxFullError(OverloadedError):
    """The mailbox of an actor is at its bound."""

    code = "mailbox_full"
    http_status = 503
