"""Directory of the failure domains with their owners and loads."""

from ._domain_choice import DomainLoad
from .requests import MembersChanged, OwnerChanged, PeerReport, PeerSilent


class DomainDirectory:
    """Stores the known owner and the reported load of each failure domain.

    Args:
        node_id: Id of this node.
        own_domain: Failure domain of this node.

    Attributes:
        own_domain: Failure domain of this node.
        owns_domain: Whether this node owns its failure domain.
    """

    def __init__(self, node_id: str, own_domain: str) -> None:
        self._node_id = node_id
        self.own_domain = own_domain
        self.owns_domain = False
        self._member_domains: frozenset[str] = frozenset()
        self._owners_by_domain: dict[str, OwnerChanged] = {}
        self._loads_by_domain: dict[str, PeerReport] = {}
        self._silent_nodes: set[str] = set()

    def set_members(self, message: MembersChanged) -> None:
        """Replace the set of failure domains by those of the VM list."""
        self._member_domains = frozenset(vm.failure_domain for vm in message.vms)

    def set_owner(self, owner: OwnerChanged) -> None:
        """Set the owner of a domain unless a higher epoch is known.

        An empty node id removes the owner.
        """
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
        """Process the report of a node; only owners report a load."""
        self._silent_nodes.discard(report.node_id)
        if report.owner:
            domain = report.failure_domain
            self.set_owner(
                OwnerChanged(domain, report.node_id, report.address, report.epoch)
            )
            self._loads_by_domain[domain] = report

    def set_silent(self, message: PeerSilent) -> None:
        """Mark a node as one that does not answer its peers."""
        self._silent_nodes.add(message.node_id)

    def count_submission(self, domain: str, accelerators: int) -> None:
        """Add a submission to the last reported load of a domain.

        Without this, all submissions between two reports would go to the
        same domain. The next report replaces the estimate.

        Args:
            domain: The domain that the submission is sent to.
            accelerators: Number of accelerators that the job needs.
        """
        report = self._loads_by_domain.get(domain)
        if report is not None:
            self._loads_by_domain[domain] = report._replace(
                largest_free_gang=max(0, report.largest_free_gang - accelerators),
                queued_jobs=report.queued_jobs + 1,
            )

    def owner_address(self, domain: str) -> str | None:
        """Return the ``host:port`` of another node that owns the domain.

        Returns None when the owner is not known or is this node.
        """
        owner = self._owners_by_domain.get(domain)
        if owner is None or owner.node_id == self._node_id:
            return None
        return owner.address

    def is_local(self, domain: str) -> bool:
        """Whether the domain is this node's own domain and owned by it."""
        return self.owns_domain and domain == self.own_domain

    def is_known(self, domain: str) -> bool:
        """Whether the domain exists; true until the VM list was read."""
        if not self._member_domains:
            return True
        return domain in self.domains()

    def domains(self) -> tuple[str, ...]:
        """Return the names of all known domains in alphabetical order."""
        known = {self.own_domain, *self._owners_by_domain, *self._member_domains}
        return tuple(sorted(known))

    def loads(self) -> tuple[DomainLoad, ...]:
        """Return the known load of each domain."""
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
