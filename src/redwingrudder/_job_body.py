"""Decoding and validation of job submissions and other JSON bodies."""

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
GANG_TASKS_LIMIT = 64  # tasks of a job that uses accelerators
CPU_TASKS_LIMIT = 1_024  # tasks of a job that uses no accelerators
DURATION_LIMIT_S = 30 * 86_400.0
WAIT_LIMIT_S = 30.0
KEY_LENGTH_LIMIT = 200  # characters
ACCELERATORS_PER_TASK_LIMIT = 64
CORES_PER_TASK_LIMIT = 1_024
MEMORY_MB_PER_TASK_LIMIT = 16_777_216
PATH_PART_LIMIT = 64  # characters of a field name in an error message

DEFAULT_CORES_PER_TASK = 1
DEFAULT_MEMORY_MB_PER_TASK = 1_024
DEFAULT_RUN_S = 60.0
DEFAULT_STOP_BOUND_S = 2.0

# Names are used as metric labels and in store keys.
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Caller = Annotated[str, StringConstraints(pattern=r"^[\x20-\x7e]{0,128}$")]
DurationS = Annotated[float, Field(gt=0, le=DURATION_LIMIT_S)]

# The functional form is needed because "class" is a keyword. Before Python
# 3.12, pydantic supports only the TypedDict of typing_extensions.
JobBody = TypedDict(
    "JobBody",
    {
        "organisation": Name,
        "class": Name,
        "caller": NotRequired[Caller],
        "tasks": NotRequired[Annotated[int, Field(ge=1, le=CPU_TASKS_LIMIT)]],
        "accelerators_per_task": NotRequired[
            Annotated[int, Field(ge=0, le=ACCELERATORS_PER_TASK_LIMIT)]
        ],
        "cores_per_task": NotRequired[
            Annotated[int, Field(ge=0, le=CORES_PER_TASK_LIMIT)]
        ],
        "memory_mb_per_task": NotRequired[
            Annotated[int, Field(ge=0, le=MEMORY_MB_PER_TASK_LIMIT)]
        ],
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
    """Return the job and the number of seconds that the caller waits for it.

    Args:
        content: The request body.
        content_type: Value of the header Content-Type.
        key: Value of the header Idempotency-Key.

    Raises:
        BadRequestError: The body or the key is invalid. If fields of the body
            are invalid, ``InvalidBodyError`` lists all of them.
    """
    idempotency_key = check_idempotency_key(key)
    value = decode_json(content, content_type)
    body = _validate(value)
    return _build_spec(body, idempotency_key), body.get("wait_s", 0.0)


def check_idempotency_key(key: str | None) -> str:
    """Return a valid idempotency key; raises ``BadRequestError``."""
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
    """Decode a JSON body strictly.

    NaN, infinite numbers, repeated keys and invalid UTF-8 are rejected.

    Raises:
        BadRequestError: Its code is ``malformed_json``, ``nested_too_deep`` or
            ``unsupported_media_type``.
    """
    check_content_type(content_type)
    try:
        value = json.loads(
            content.decode("utf-8"),
            object_pairs_hook=_check_unique_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
        # Unpaired surrogates are valid in JSON escapes but not in UTF-8.
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
        problems = [_describe_error(item) for item in error.errors(include_url=False)]
        body = {}
    problems.extend(_gang_problems(value))
    if problems:
        raise InvalidBodyError("the job has invalid fields", tuple(problems))
    return body


def _gang_problems(value: Any) -> list[str]:
    """Return a problem if a job with accelerators has too many tasks.

    Its limit is lower than the limit in ``JobBody``, which applies to all
    jobs.
    """
    if not isinstance(value, dict):
        return []
    tasks = value.get("tasks", 1)
    accelerators = value.get("accelerators_per_task", 0)
    if type(tasks) is not int or type(accelerators) is not int:
        return []
    if accelerators > 0 and GANG_TASKS_LIMIT < tasks <= CPU_TASKS_LIMIT:
        return [f"tasks: at most {GANG_TASKS_LIMIT} if tasks use accelerators"]
    return []


def _describe_error(item: Any) -> str:
    location = ".".join(str(part)[:PATH_PART_LIMIT] for part in item["loc"]) or "body"
    return f"{location}: {item['msg']}"


def _build_spec(body: JobBody, idempotency_key: str) -> JobSpec:
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


def _check_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("an object contains a key more than once")
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a valid JSON number")


def _parse_finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number exceeds the range of a float")
    return value


def _depth(value: Any) -> int:
    """Return the levels of nested arrays and objects.

    Counting stops above ``NESTING_LIMIT``. The loop avoids recursion, which
    deeply nested input could exhaust.
    """
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
