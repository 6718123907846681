"""Conversion between the node's value types and the thrift structs."""

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
    """Return the struct of a job."""
    return WireJobSpec(**spec._asdict())


def decode_spec(wire: WireJobSpec) -> JobSpec:
    """Return the job of a struct; raises ``BadRequestError``."""
    return JobSpec(**_fields(wire, JobSpec))


def encode_view(view: JobView) -> WireJobView:
    """Return the struct of a job's state."""
    fields = view._asdict()
    fields.update(state=str(view.state), results=list(view.results))
    return WireJobView(**fields)


def decode_view(wire: WireJobView) -> JobView:
    """Return the job's state of a struct; raises ``BadRequestError``."""
    fields = _fields(wire, JobView)
    try:
        fields["state"] = JobState(fields["state"])
    except ValueError:
        raise _bad_struct(wire, "state") from None
    fields["results"] = tuple(fields["results"])
    return JobView(**fields)


def encode_explanation(explanation: Explanation) -> WireExplanation:
    """Return the struct of an explanation."""
    return WireExplanation(
        explanation.job_id, explanation.state, list(explanation.reasons)
    )


def decode_explanation(wire: WireExplanation) -> Explanation:
    """Return the explanation of a struct; raises ``BadRequestError``."""
    fields = _fields(wire, Explanation)
    fields["reasons"] = tuple(fields["reasons"])
    return Explanation(**fields)


def encode_report(report: PeerReport) -> WirePeerReport:
    """Return the struct of a node's report."""
    fields = report._asdict()
    fields["epoch"] = WireEpoch(*report.epoch)
    return WirePeerReport(**fields)


def decode_report(wire: WirePeerReport) -> PeerReport:
    """Return the node's report of a struct; raises ``BadRequestError``."""
    fields = _fields(wire, PeerReport)
    fields["epoch"] = Epoch(**_fields(fields["epoch"], Epoch))
    return PeerReport(**fields)


def encode_error(error: RedwingrudderError) -> Fault:
    """Return the fault that stands for an error.

    One class of errors has several codes. The fault carries the code of the
    class and the code itself, so that the other side restores the class.
    """
    code = f"{type(error).code}{_CODE_SEPARATOR}{error.code}"
    return Fault(code, error.detail, error.retry_after_s)


def decode_error(fault: Fault) -> RedwingrudderError:
    """Return the error that a fault stands for."""
    class_code, _, code = (fault.code or "").partition(_CODE_SEPARATOR)
    error_class = _ERRORS_BY_CODE.get(class_code, RedwingrudderError)
    error = error_class(fault.detail or "")
    error.code = code or error_class.code
    error.retry_after_s = fault.retry_after_s
    return error


def _fields(wire: Any, value_type: type) -> dict[str, Any]:
    if wire is None:
        raise BadRequestError("a struct is missing", code="bad_frame")
    fields = {name: getattr(wire, name) for name in value_type._fields}
    for name, value in fields.items():
        if value is None and name not in _OPTIONAL_FIELDS:
            raise _bad_struct(wire, name)
    return fields


def _bad_struct(wire: Any, name: str) -> BadRequestError:
    return BadRequestError(
        f"{type(wire).__name__} has no valid {name}", code="bad_frame"
    )


def _error_classes(
    base: type[RedwingrudderError],
) -> Iterator[type[RedwingrudderError]]:
    yield base
    for subclass in base.__subclasses__():
        yield from _error_classes(subclass)


_ERRORS_BY_CODE = {
    error_class.code: error_class for error_class in _error_classes(RedwingrudderError)
}
