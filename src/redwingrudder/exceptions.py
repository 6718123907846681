"""Exceptions of the library, each with a stable error code.

Every class has the HTTP status of the reply that reports it and the exit code
of the command line. Callers should match on ``code``; the text of ``detail``
may change between releases.
"""


class RedwingrudderError(Exception):
    """Base of all errors raised by this library.

    Args:
        detail: Human-readable text: what was found and what is allowed.
        code: Replaces the code of the class, for a more specific error.
        retry_after_s: Seconds after which a retry may succeed, if known.
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
    """The request is malformed or has a value out of range."""

    code = "bad_request"
    http_status = 400
    exit_code = 2


class UnprocessableError(BadRequestError):
    """The request is well formed but can never be executed."""

    code = "unprocessable"
    http_status = 422


class InvalidConfigurationError(UnprocessableError):
    """The configuration is invalid; ``problems`` lists every violation."""

    code = "invalid_configuration"

    def __init__(self, detail: str, problems: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.problems = problems


class PayloadTooLargeError(BadRequestError):
    """A body, frame or value exceeds its size limit."""

    code = "payload_too_large"
    http_status = 413


class MethodNotAllowedError(BadRequestError):
    """The resource exists but does not support the HTTP method."""

    code = "method_not_allowed"
    http_status = 405


class UnsupportedMediaTypeError(BadRequestError):
    """The resource does not accept the content type of the body."""

    code = "unsupported_media_type"
    http_status = 415


class PreconditionRequiredError(BadRequestError):
    """A change request does not name the version that it is based on."""

    code = "precondition_required"
    http_status = 428


class InvalidBodyError(BadRequestError):
    """The body violates its schema; ``problems`` lists every violation."""

    code = "invalid_body"

    def __init__(self, detail: str, problems: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.problems = problems


class SettingsError(RedwingrudderError):
    """A settings file is invalid or unreadable.

    ``problems`` lists every violation that was found in the file.
    """

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
    """A state chart file is invalid; ``detail`` names the file and line."""

    code = "invalid_chart"
    exit_code = 3


class UnexpectedEventError(RedwingrudderError):
    """A state chart does not list the event for its current state."""

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
    """The request contradicts data that is already recorded."""

    code = "conflict"
    http_status = 409
    exit_code = 5


class StaleEpochError(ConflictError):
    """A command has an epoch below the highest that its receiver has seen."""

    code = "stale_epoch"


class UnavailableError(RedwingrudderError):
    """A required component is unreachable.

    The request had no effect, except in the subclass ``OutcomeUnknownError``.
    """

    code = "unavailable"
    http_status = 503
    exit_code = 6


class StoreUnavailableError(UnavailableError):
    """The platform store cannot be reached."""

    code = "store_unavailable"


class OutcomeUnknownError(UnavailableError):
    """The request was sent, but whether it took effect is unknown."""

    code = "outcome_unknown"


class OverloadedError(RedwingrudderError):
    """A queue is full or a rate limit exceeded; the request had no effect."""

    code = "overloaded"
    http_status = 429
    exit_code = 7


class MailboxFullError(OverloadedError):
    """The mailbox of an actor holds its maximum number of messages."""

    code = "mailbox_full"
    http_status = 503
