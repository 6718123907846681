"""Writes a new configuration version to the platform store.

The transaction compares the revision of the head key, so that of several
concurrent changes only one is accepted.
"""

import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from . import _configuration_codec as codec
from . import guarantees
from ._configuration_document import parse_document, to_configuration
from .exceptions import (
    ConflictError,
    OutcomeUnknownError,
    RedwingrudderError,
    StoreUnavailableError,
)
from .model import Configuration, WorkerInfo
from .requests import (
    ApplyConfiguration,
    Compare,
    DeleteKey,
    GetKey,
    KeyValue,
    ListVms,
    PutKey,
    Transact,
    VmInfo,
)

# The transaction is sent again when its reply is lost. This is the maximum
# number of times that it is sent, including the first.
MAX_WRITE_ATTEMPTS = 3

AskStore = Callable[[Any], Awaitable[Any]]


class _Base(NamedTuple):
    """The version that a change is based on.

    Attributes:
        version: 0 while there is no configuration.
        head_revision: Store revision of the head key, 0 if it is absent.
        configuration: None while there is no configuration.
    """

    version: int
    head_revision: int
    configuration: Configuration | None


class ConfigurationWriter:
    """Validates operators' documents and writes them as new versions.

    Args:
        ask_store: Sends a request to the store actor and returns its reply.
    """

    def __init__(self, ask_store: AskStore) -> None:
        self._ask_store = ask_store

    async def write(
        self, request: ApplyConfiguration, in_force: Configuration | None
    ) -> Configuration:
        """Validate a document, plan its cells and write the next version.

        Args:
            request: The document and the version that it is based on.
            in_force: The configuration in force on this node, if any.

        Returns:
            The configuration as written.

        Raises:
            ConflictError: The document is based on a version that is not the
                current one (code ``configuration_conflict``).
            OutcomeUnknownError: The store did not confirm the write, which
                may have taken effect.
            RedwingrudderError: Any other error: the document is invalid, or
                the store or the planning of the cells failed. Nothing was
                written.
        """
        document = parse_document(request.document)
        base = await self._read_base(request.base_version, in_force)
        cells = () if base.configuration is None else base.configuration.cells
        planned = to_configuration(document, base.version + 1, cells)
        if not _has_same_guarantees(planned, base.configuration):
            vms = await self._ask_store(ListVms(""))
            cells = guarantees.plan_cells(planned, live_workers(vms))
        accepted = planned._replace(cells=tuple(sorted(cells)))
        await self._commit(base, accepted)
        return accepted

    async def _read_base(
        self, base_version: int, in_force: Configuration | None
    ) -> _Base:
        stored = await self._ask_store(GetKey(codec.HEAD_KEY))
        version = 0 if stored is None else _decode(codec.decode_head, stored).version
        head_revision = 0 if stored is None else stored.mod_revision
        if in_force is not None and in_force.version > version:
            # The store has lost its data. Versions must not be reused, since
            # nodes ignore a version that is not above the one in force.
            version = in_force.version
        if base_version != version:
            raise _conflict_error(base_version, version)
        if version and (in_force is None or in_force.version < version):
            in_force = await self._read_document(version)
        return _Base(version, head_revision, in_force)

    async def _read_document(self, version: int) -> Configuration:
        stored = await self._ask_store(GetKey(codec.DOCUMENT_KEY))
        configuration = _decode(codec.decode_configuration, stored)
        if configuration.version != version:
            raise _conflict_error(version, configuration.version)
        return configuration

    async def _commit(self, base: _Base, accepted: Configuration) -> None:
        nonce = uuid.uuid4().hex
        transaction = _build_transaction(base, accepted, nonce)
        outcome_unknown = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                if await self._is_committed(transaction, accepted, nonce):
                    return
            except OutcomeUnknownError:
                outcome_unknown = True
            except RedwingrudderError as error:
                if not outcome_unknown or isinstance(error, ConflictError):
                    raise
                # An earlier attempt may have been committed.
                break
        raise OutcomeUnknownError(
            "the store did not confirm, but may have stored, "
            f"configuration version {accepted.version}"
        )

    async def _is_committed(
        self, transaction: Transact, accepted: Configuration, nonce: str
    ) -> bool:
        """Send the transaction and return True once it is committed.

        Sending it again has no second effect, since the first commit changes
        the head revision that the transaction compares. The nonce of the
        change key then shows whether the earlier attempt was committed.

        Raises:
            ConflictError: Another write came first.
        """
        reply = await self._ask_store(transaction)
        if reply.succeeded:
            return True
        key = codec.change_key(accepted.version)
        stored = await self._ask_store(GetKey(key))
        if stored is not None and _decode(codec.decode_change, stored).nonce == nonce:
            return True
        head = await self._ask_store(GetKey(codec.HEAD_KEY))
        current = accepted.version
        if head is not None:
            current = _decode(codec.decode_head, head).version
        raise _conflict_error(accepted.version - 1, current)


def _decode(decoder: Callable[[str], Any], stored: KeyValue) -> Any:
    """Decode a stored value.

    Raises:
        StoreUnavailableError: The value is malformed.
    """
    try:
        return decoder(stored.value)
    except ValueError as error:
        raise StoreUnavailableError(
            f"the value of {stored.key} in the store is malformed: {error}"
        ) from error


def live_workers(vms: tuple[VmInfo, ...]) -> tuple[WorkerInfo, ...]:
    """Return the workers of a VM list whose state is ``live``."""
    return tuple(
        WorkerInfo(
            vm.vm_id,
            vm.address,
            vm.failure_domain,
            vm.rack,
            vm.accelerators,
            vm.slots,
            vm.cores,
            vm.memory_mb,
        )
        for vm in vms
        if vm.role == "worker" and vm.state == "live"
    )


def _has_same_guarantees(planned: Configuration, base: Configuration | None) -> bool:
    """Return whether the guarantees are unchanged.

    The cells are then kept as they are. Planning them again would fail while
    lost hardware leaves too few workers for the guarantees, and this must not
    prevent operators from changing a target.
    """
    if base is None:
        return False
    return planned.organisations_by_name == base.organisations_by_name


def _build_transaction(base: _Base, accepted: Configuration, nonce: str) -> Transact:
    """Build the write, which fails if the head changed since it was read."""
    change = codec.build_change(base.configuration, accepted, nonce)
    head = codec.Head(accepted.version, nonce)
    puts = (
        PutKey(codec.HEAD_KEY, codec.encode_head(head)),
        PutKey(codec.DOCUMENT_KEY, codec.encode_configuration(accepted)),
        PutKey(codec.change_key(accepted.version), codec.encode_change(change)),
    )
    expired_version = accepted.version - codec.CHANGES_KEPT
    deletions = (
        (DeleteKey(codec.change_key(expired_version)),) if expired_version > 0 else ()
    )
    compares = (Compare(codec.HEAD_KEY, base.head_revision),)
    return Transact(compares, (*puts, *deletions))


def _conflict_error(base_version: int, current_version: int) -> ConflictError:
    return ConflictError(
        f"the change is based on version {base_version}, "
        f"but the current version is {current_version}",
        code="configuration_conflict",
    )
