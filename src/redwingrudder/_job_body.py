"""Bodies of the HTTP interface: decoding and validation of requests."""

import json
import math
import re
from typing import Annotated, Any, NotRequired

from pydantic import ConfigDict, Field, StringConstraints, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from .exceptions import (
    BadRequestError,
    InvalidBodyError,
    UnsupportedMediaTypeError,
)
from .model import JobSpec

NESTING_LIMIT = 64  # levels of arrays and objects
GANG_TASKS_LIMIT = 64
CPU_TASKS_LIMIT = 1_024
DURATION_LIMIT_S = 30 * 86_400.0
WAIT_LIMIT_S = 30.0
KEY_LENGTH_LIMIT = 200

DEFAULT_CORES_PER_TASK = 1
DEFAULT_MEMORY_MB_PER_TASK = 1_024
DEFAULT_RUN_S = 60.0
DEFAULT_STOP_BOUND_S = 2.0

# Names appear as labels of metrics and in store keys.
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Caller = Annotated[str, StringConstraints(pattern=r"^[\x20-\x7e]{0,128}$")]
DurationS = Annotated[float, Field(gt=0, le=DURATION_LIMIT_S)]

# "class" is a keyword, hence the functional form. Before Python 3.12 pydantic
# takes TypedDict only from typing_extensions.
JobBody = TypedDict(
    "JobBody",
    {
        "organisation": Name,
        "class": Name,
        "caller": NotRequired[Caller],
        "tasks": NotRequired[Annotated[int, Field(ge=1, le=CPU_TASKS_LIMIT)]],
        "accelerators_per_task": NotRequired[Annotated[int, Field(ge=0, le=64)]],
        "cores_per_task": NotRequired[Annotated[int, Field(ge=0, le=1_024)]],
        "memory_mb_per_task": NotRequired[Annotated[int, Field(ge=0, le=16_777_216)]],
        "idempotent": NotRequired[bool],
        "preemptible": NotRequired[bool],
        "declared_run_s": NotRequired[DurationS],
        "stop_bound_s": NotRequired[DurationS],
        "expire_s": NotRequired[Annotated[float, Field(ge=0, le=DURATION_LIMIT_S)]],
        "payload": NotRequired[Any],
        "wait_s": NotRequired[Annotated[float, Field(ge=0, le=WAIT_LIMIT_S)]],
    },
)
JobBody.__pydantic_config__ = ConfigDict(
    strict=True, extra="forbid", allow_inf_nan=False
)
_JOB_BODY = TypeAdapter(JobBody)
_KEY_PATTERN = re.compile(rf"[\x20-\x7e]{{1,{KEY_LENGTH_LIMIT}}}")


def parse_job(
    content: bytes, content_type: str | None, key: str | None
) -> tuple[JobSpec, float]:
    """Return the job and the seconds that the caller wants to wait.

    Raises:
        BadRequestError: Body or key cannot be used; an ``InvalidBodyError``
            lists all wrong fields at once.
    """
    idempotency_key = check_idempotency_key(key)
    value = decode_json(content, content_type)
    body = _validate(value)
    return _spec(body, idempotency_key), body.get("wait_s", 0.0)


def check_idempotency_key(key: str | None) -> str:
    """Return the key of a submission; raises ``BadRequestError``."""
    if key is None:
        raise BadRequestError(
            "header Idempotency-Key is required", code="missing_idempotency_key"
        )
    if not _KEY_PATTERN.fullmatch(key):
        raise BadRequestError(
            f"Idempotency-Key must have 1 to {KEY_LENGTH_LIMIT} printable ASCII "
            "characters",
            code="invalid_idempotency_key",
        )
    return key


def decode_json(content: bytes, content_type: str | None) -> Any:
    """Decode a JSON body strictly: no NaN, no repeated keys, valid UTF-8.

    Raises:
        BadRequestError: ``malformed_json`` or ``unsupported_media_type``.
    """
    check_content_type(content_type)
    try:
        value = json.loads(
            content.decode("utf-8"),
            object_pairs_hook=_unique_keys,
            parse_constant=_reject_constant,
            parse_float=_finite_float,
        )
        # Unpaired surrogates are valid JSON escapes but no valid UTF-8.
        json.dumps(value, ensure_ascii=False).encode("utf-8")
    except RecursionError:
        raise _nesting_error() from None
    except ValueError as error:
        raise BadRequestError(
            f"the body is not valid JSON: {error}", code="malformed_json"
        ) from None
    if _depth(value) > NESTING_LIMIT:
        raise _nesting_error()
    return value


def check_content_type(content_type: str | None) -> None:
    """Raise ``UnsupportedMediaTypeError`` unless the type is JSON."""
    media_type = (content_type or "").partition(";")[0].strip().lower()
    if media_type != "application/json":
        raise UnsupportedMediaTypeError(
            f"content type is {media_type or 'missing'!r}, expected 'application/json'"
        )


def _validate(value: Any) -> JobBody:
    problems: list[str] = []
    try:
        body = _JOB_BODY.validate_python(value)
    except ValidationError as error:
        problems = [_describe(item) for item in error.errors(include_url=False)]
        body = {}
    problems.extend(_gang_problems(value))
    if problems:
        raise InvalidBodyError("the job has invalid fields", tuple(problems))
    return body


def _gang_problems(value: Any) -> list[str]:
    """Check the one rule that spans two fields."""
    if not isinstance(value, dict):
        return []
    tasks = value.get("tasks", 1)
    accelerators = value.get("accelerators_per_task", 0)
    if type(tasks) is not int or type(accelerators) is not int:
        return []
    if accelerators > 0 and GANG_TASKS_LIMIT < tasks <= CPU_TASKS_LIMIT:
        return [f"tasks: at most {GANG_TASKS_LIMIT} when tasks use accelerators"]
    return []


def _describe(item: Any) -> str:
    place = ".".join(str(part)[:64] for part in item["loc"]) or "body"
    return f"{place}: {item['msg']}"


def _spec(body: JobBody, idempotency_key: str) -> JobSpec:
    return JobSpec(
        organisation=body["organisation"],
        job_class=body["class"],
        caller=body.get("caller", ""),
        idempotency_key=idempotency_key,
        tasks=body.get("tasks", 1),
        accelerators_per_task=body.get("accelerators_per_task", 0),
        cores_per_task=body.get("cores_per_task", DEFAULT_CORES_PER_TASK),
        memory_mb_per_task=body.get("memory_mb_per_task", DEFAULT_MEMORY_MB_PER_TASK),
        idempotent=body.get("idempotent", False),
        preemptible=body.get("preemptible", False),
        declared_run_s=body.get("declared_run_s", DEFAULT_RUN_S),
        stop_bound_s=body.get("stop_bound_s", DEFAULT_STOP_BOUND_S),
        payload=_payload_text(body.get("payload", "")),
        expire_s=body.get("expire_s", 0.0),
    )


def _payload_text(payload: Any) -> str:
    if isinstance(payload, str):
        return payload
    return json.dumps(payload, ensure_ascii=False, separators=(",", ":"))


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("an object has the same key twice")
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is no JSON number")


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is out of range")
    return value


def _depth(value: Any) -> int:
    """Return the nesting of a value without recursion."""
    depth = 0
    level = [value]
    while level:
        containers = [item for item in level if isinstance(item, dict | list)]
        depth += bool(containers)
        level = []
        for item in containers:
            level.extend(item.values() if isinstance(item, dict) else item)
        if depth > NESTING_LIMIT:
            break
    return depth


def _nesting_error() -> BadRequestError:
    return BadRequestError(
        f"the body is nested deeper than {NESTING_LIMIT} levels", code="nested_too_deep"
    )
