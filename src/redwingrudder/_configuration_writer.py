"""Acceptance of an operator's document by a transaction of the store."""

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
)
from .model import Configuration, WorkerInfo
from .requests import (
    ApplyConfiguration,
    Compare,
    DeleteKey,
    GetKey,
    ListVms,
    PutKey,
    Transact,
    VmInfo,
)

ATTEMPTS = 3  # transactions sent when replies are lost

AskStore = Callable[[Any], Awaitable[Any]]


class _Base(NamedTuple):
    """The version that a change starts from."""

    version: int
    head_revision: int
    configuration: Configuration | None


class ConfigurationWriter:
    """Writes accepted configurations.

    Args:
        ask_store: Asks the store actor.
    """

    def __init__(self, ask_store: AskStore) -> None:
        self._ask_store = ask_store

    async def write(
        self, request: ApplyConfiguration, in_force: Configuration | None
    ) -> Configuration:
        """Check a document, plan its cells and write it.

        Raises:
            ConflictError: ``configuration_conflict`` with both versions.
            OutcomeUnknownError: The store did not confirm the write.
        """
        document = parse_document(request.document)
        base = await self._read_base(request.base_version, in_force)
        cells = () if base.configuration is None else base.configuration.cells
        planned = to_configuration(document, base.version + 1, cells)
        if not _promises_the_same(planned, base.configuration):
            vms = await self._ask_store(ListVms(""))
            cells = guarantees.plan_cells(planned, live_workers(vms))
        accepted = planned._replace(cells=tuple(sorted(cells)))
        await self._commit(base, accepted)
        return accepted

    async def _read_base(
        self, base_version: int, in_force: Configuration | None
    ) -> _Base:
        pair = await self._ask_store(GetKey(codec.HEAD_KEY))
        version = 0 if pair is None else codec.decode_head(pair.value).version
        head_revision = 0 if pair is None else pair.mod_revision
        if in_force is not None and in_force.version > version:
            # The store lost its data; versions must still rise.
            version = in_force.version
        if base_version != version:
            raise _conflict(base_version, version)
        if version and (in_force is None or in_force.version < version):
            in_force = await self._read_document(version)
        return _Base(version, head_revision, in_force)

    async def _read_document(self, version: int) -> Configuration:
        pair = await self._ask_store(GetKey(codec.DOCUMENT_KEY))
        configuration = codec.decode_configuration(pair.value)
        if configuration.version != version:
            raise _conflict(version, configuration.version)
        return configuration

    async def _commit(self, base: _Base, accepted: Configuration) -> None:
        nonce = uuid.uuid4().hex
        transaction = _build_transaction(base, accepted, nonce)
        sent_unanswered = False
        for _ in range(ATTEMPTS):
            try:
                if await self._is_committed(transaction, accepted, nonce):
                    return
            except OutcomeUnknownError:
                sent_unanswered = True
            except RedwingrudderError as error:
                if not sent_unanswered or isinstance(error, ConflictError):
                    raise
                break
        raise OutcomeUnknownError(
            f"the store did not confirm configuration {accepted.version}"
        )

    async def _is_committed(
        self, transaction: Transact, accepted: Configuration, nonce: str
    ) -> bool:
        """Send the transaction; sending it again has no second effect."""
        reply = await self._ask_store(transaction)
        if reply.succeeded:
            return True
        key = codec.change_key(accepted.version)
        pair = await self._ask_store(GetKey(key))
        if pair is not None and codec.decode_change(pair.value).nonce == nonce:
            return True
        head = await self._ask_store(GetKey(codec.HEAD_KEY))
        current = accepted.version
        if head is not None:
            current = codec.decode_head(head.value).version
        raise _conflict(accepted.version - 1, current)


def live_workers(vms: tuple[VmInfo, ...]) -> tuple[WorkerInfo, ...]:
    """Return the workers of a VM list that are not leaving."""
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


def _promises_the_same(planned: Configuration, base: Configuration | None) -> bool:
    """Whether no guarantee changes, so that the cells need no new plan.

    While hardware is lost the guarantees may not fit, which must not keep
    operators from changing a target.
    """
    if base is None:
        return False
    return planned.organisations_by_name == base.organisations_by_name


def _build_transaction(base: _Base, accepted: Configuration, nonce: str) -> Transact:
    change = codec.build_change(base.configuration, accepted, nonce)
    head = codec.Head(accepted.version, nonce)
    puts = (
        PutKey(codec.HEAD_KEY, codec.encode_head(head)),
        PutKey(codec.DOCUMENT_KEY, codec.encode_configuration(accepted)),
        PutKey(codec.change_key(accepted.version), codec.encode_change(change)),
    )
    pruned = accepted.version - codec.CHANGES_KEPT
    deletions = (DeleteKey(codec.change_key(pruned)),) if pruned > 0 else ()
    compares = (Compare(codec.HEAD_KEY, base.head_revision),)
    return Transact(compares, (*puts, *deletions))


def _conflict(base_version: int, current_version: int) -> ConflictError:
    return ConflictError(
        f"edited version {base_version}, current version {current_version}",
        code="configuration_conflict",
    )
