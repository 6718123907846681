"""Conversion between the value types of ``model`` and thrift structs.

The decoders raise ``BadRequestError`` with code ``bad_frame`` if a required
field is missing or invalid.
"""

from collections.abc import Iterator
from typing import Any

from ._wire.generated.node.ttypes import (
    Fault,
    WireEpoch,
    WireExplanation,
    WireJobSpec,
    WireJobView,
    WirePeerReport,
)
from .exceptions import BadRequestError, RedwingrudderError
from .model import Epoch, JobSpec, JobState, JobView
from .requests import Explanation, PeerReport

_CODE_SEPARATOR = "/"
_OPTIONAL_FIELDS = frozenset({"finished_at"})


def encode_spec(spec: JobSpec) -> WireJobSpec:
    """Encode the specification of a job for a thrift call."""
    return WireJobSpec(**spec._asdict())


def decode_spec(wire: WireJobSpec) -> JobSpec:
    """Decode the specification of a job; raises ``BadRequestError``."""
    return JobSpec(**_read_fields(wire, JobSpec))


def encode_view(view: JobView) -> WireJobView:
    """Encode the state of a job; enum values are sent as text."""
    fields = view._asdict()
    fields.update(state=str(view.state), results=list(view.results))
    return WireJobView(**fields)


def decode_view(wire: WireJobView) -> JobView:
    """Decode the state of a job; raises ``BadRequestError``."""
    fields = _read_fields(wire, JobView)
    try:
        fields["state"] = JobState(fields["state"])
    except ValueError:
        raise _invalid_field_error(wire, "state") from None
    fields["results"] = tuple(fields["results"])
    return JobView(**fields)


def encode_explanation(explanation: Explanation) -> WireExplanation:
    """Encode the reasons for a job's state."""
    return WireExplanation(
        explanation.job_id, explanation.state, list(explanation.reasons)
    )


def decode_explanation(wire: WireExplanation) -> Explanation:
    """Decode the reasons for a job's state; raises ``BadRequestError``."""
    fields = _read_fields(wire, Explanation)
    fields["reasons"] = tuple(fields["reasons"])
    return Explanation(**fields)


def encode_report(report: PeerReport) -> WirePeerReport:
    """Encode the report that nodes exchange."""
    fields = report._asdict()
    fields["epoch"] = WireEpoch(*report.epoch)
    return WirePeerReport(**fields)


def decode_report(wire: WirePeerReport) -> PeerReport:
    """Decode the report of a peer; raises ``BadRequestError``."""
    fields = _read_fields(wire, PeerReport)
    fields["epoch"] = Epoch(**_read_fields(fields["epoch"], Epoch))
    return PeerReport(**fields)


def encode_error(error: RedwingrudderError) -> Fault:
    """Return the thrift exception that represents an error.

    An error class can be used with several codes. The fault carries both the
    default code of the class and the code of the error, so that the receiver
    can restore the class.
    """
    code = f"{type(error).code}{_CODE_SEPARATOR}{error.code}"
    return Fault(code, error.detail, error.retry_after_s)


def decode_error(fault: Fault) -> RedwingrudderError:
    """Return the error that a thrift exception represents.

    Unknown class codes give a ``RedwingrudderError``.
    """
    class_code, _, code = (fault.code or "").partition(_CODE_SEPARATOR)
    error_class = _ERROR_CLASSES_BY_CODE.get(class_code, RedwingrudderError)
    error = error_class(fault.detail or "")
    error.code = code or error_class.code
    error.retry_after_s = fault.retry_after_s
    return error


def _read_fields(wire: Any, value_type: type) -> dict[str, Any]:
    """Return the fields of a struct; all but the optional ones must be set."""
    if wire is None:
        raise BadRequestError("a thrift struct is missing", code="bad_frame")
    fields = {name: getattr(wire, name) for name in value_type._fields}
    for name, value in fields.items():
        if value is None and name not in _OPTIONAL_FIELDS:
            raise _invalid_field_error(wire, name)
    return fields


def _invalid_field_error(wire: Any, name: str) -> BadRequestError:
    return BadRequestError(
        f"{type(wire).__name__}: field {name} is missing or invalid", code="bad_frame"
    )


def _error_classes(
    base: type[RedwingrudderError],
) -> Iterator[type[RedwingrudderError]]:
    yield base
    for subclass in base.__subclasses__():
        yield from _error_classes(subclass)


_ERROR_CLASSES_BY_CODE = {
    error_class.code: error_class for error_class in _error_classes(RedwingrudderError)
}
