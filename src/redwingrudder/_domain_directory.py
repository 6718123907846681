"""Owners and loads of the failure domains, as the router knows them."""

from ._domain_choice import DomainLoad
from .requests import MembersChanged, OwnerChanged, PeerReport, PeerSilent


class DomainDirectory:
    """Which node owns each failure domain and how much room it has."""

    def __init__(self, node_id: str, own_domain: str) -> None:
        self._node_id = node_id
        self.own_domain = own_domain
        self.owns_domain = False
        self._member_domains: frozenset[str] = frozenset()
        self._owners_by_domain: dict[str, OwnerChanged] = {}
        self._loads_by_domain: dict[str, PeerReport] = {}
        self._silent_nodes: set[str] = set()

    def set_members(self, message: MembersChanged) -> None:
        """Take over the failure domains of the VM list."""
        self._member_domains = frozenset(vm.failure_domain for vm in message.vms)

    def set_owner(self, owner: OwnerChanged) -> None:
        """Take over an owner unless one of a higher epoch is known."""
        domain = owner.failure_domain
        if not owner.node_id:
            self._owners_by_domain.pop(domain, None)
            return
        known = self._owners_by_domain.get(domain)
        if known is not None and known.epoch > owner.epoch:
            return
        self._owners_by_domain[domain] = owner
        if known is None or known.node_id != owner.node_id:
            self._silent_nodes.discard(owner.node_id)

    def set_report(self, report: PeerReport) -> None:
        """Take over a node's report; only an owner's has a load."""
        self._silent_nodes.discard(report.node_id)
        if report.owner:
            domain = report.failure_domain
            self.set_owner(
                OwnerChanged(domain, report.node_id, report.address, report.epoch)
            )
            self._loads_by_domain[domain] = report

    def set_silent(self, message: PeerSilent) -> None:
        """Note that a node does not answer its peers."""
        self._silent_nodes.add(message.node_id)

    def count_submission(self, domain: str, accelerators: int) -> None:
        """Count a submission against the load until the next report.

        Otherwise a burst between two reports would all go to one domain.
        """
        report = self._loads_by_domain.get(domain)
        if report is not None:
            self._loads_by_domain[domain] = report._replace(
                largest_free_gang=max(0, report.largest_free_gang - accelerators),
                queued_jobs=report.queued_jobs + 1,
            )

    def owner_address(self, domain: str) -> str | None:
        """Return where the domain's owner listens, or None when unknown."""
        owner = self._owners_by_domain.get(domain)
        if owner is None or owner.node_id == self._node_id:
            return None
        return owner.address

    def is_local(self, domain: str) -> bool:
        """Whether this node owns the domain."""
        return self.owns_domain and domain == self.own_domain

    def is_known(self, domain: str) -> bool:
        """Whether the domain exists, as far as this node can tell."""
        if not self._member_domains:
            return True
        return domain in self.domains()

    def domains(self) -> tuple[str, ...]:
        """Return the names of all known domains."""
        known = {self.own_domain, *self._owners_by_domain, *self._member_domains}
        return tuple(sorted(known))

    def loads(self) -> tuple[DomainLoad, ...]:
        """Return what is known of every domain."""
        return tuple(self._load(domain) for domain in self.domains())

    def _load(self, domain: str) -> DomainLoad:
        report = self._loads_by_domain.get(domain)
        return DomainLoad(
            domain,
            self._is_reachable(domain),
            report.largest_free_gang if report else None,
            report.queued_jobs if report else None,
        )

    def _is_reachable(self, domain: str) -> bool:
        if self.is_local(domain):
            return True
        owner = self._owners_by_domain.get(domain)
        if owner is None or owner.node_id == self._node_id:
            return False
        return owner.node_id not in self._silent_nodes
