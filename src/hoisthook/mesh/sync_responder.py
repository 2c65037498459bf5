"""Replies to the polls of other nodes with the changes that they have not received yet."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hoisthook.membership.suspicion import SuspicionTable
from hoisthook.mesh.sync_messages import SyncReply

# A held request is answered early if that makes the requester's configuration younger by this much.
MIN_AGE_GAIN_SECONDS = 0.2

if TYPE_CHECKING:
    from hoisthook.identity import DataCentre
    from hoisthook.identity import NodeId
    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.peer import Peer
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.sync_messages import SyncRequest
    from hoisthook.port.clock import Clock
    from hoisthook.retry.crash_evidence import CrashEvidence
    from hoisthook.retry.crash_evidence import CrashReport
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.traffic.configuration_age import ConfigurationAge
    from hoisthook.traffic.configuration_exchange import ConfigurationExchange
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.evacuations import Evacuations


class SyncResponder:
    """Applies the reports in requests, and composes replies from this node's state.

    Parameters
    ----------
    process : str
        Identifies this process, to which the revisions in requests and replies refer.
    directory : PeerDirectory
        Known nodes.
    configuration : ConfigurationHolder
        Configuration in force.
    evacuations : Evacuations
        Evacuated data centres.
    exchange : ConfigurationExchange
        Computes the configuration delta for a requester.
    crashes : CrashEvidence
        Work that has crashed backend servers.
    era : StoreEra
        The store's era as known here, sent with each reply.
    lease : KeyLease
        Provides the age of the last confirmation of teams' keys.
    age : ConfigurationAge
        Provides the age of the configuration known here.
    clock : Clock
        Monotonic.
    """

    def __init__(
        self,
        process: str,
        directory: PeerDirectory,
        configuration: ConfigurationHolder,
        evacuations: Evacuations,
        exchange: ConfigurationExchange,
        crashes: CrashEvidence,
        era: StoreEra,
        lease: KeyLease,
        age: ConfigurationAge,
        clock: Clock,
    ) -> None:
        self._process = process
        self._directory = directory
        self._configuration = configuration
        self._evacuations = evacuations
        self._exchange = exchange
        self._crashes = crashes
        self._era = era
        self._lease = lease
        self._age = age
        self._clock = clock
        self._suspicions = SuspicionTable()
        self._process_by_requester: dict[NodeId, str] = {}

    def apply_request(self, request: SyncRequest) -> None:
        """Apply what a request reports of other nodes, crashes and the store's era."""
        # Before the reply is held: the reports' ages are those at the time of the request.
        self._apply_reports(request)
        self._crashes.merge(request.crashes, self._clock.now())
        self._era.update(request.era)

    def apply_suspicions(self, reply: SyncReply) -> None:
        """Apply the suspicions of a reply, and keep them for the nodes that poll this one."""
        now = self._clock.now()
        self._directory.others_suspect(self._suspicions.adopt(reply.suspected, now), now)
        self._directory.others_reached(reply.cleared)
        # If this node is a reader too, its own table rejects older reports by this time.
        for node in reply.cleared:
            self._suspicions.reached(node, now)

    def has_changes_for(self, request: SyncRequest, received_at: float) -> bool:
        """Return whether the requester can learn of a change, or that there is none."""
        return (
            self._configuration.version > request.configuration
            or self._evacuations.revision > request.evacuations
            or self._is_confirmed_later(request, received_at)
        )

    def _is_confirmed_later(self, request: SyncRequest, received_at: float) -> bool:
        if request.age is None:
            return False
        return self._age.as_of >= received_at - request.age + MIN_AGE_GAIN_SECONDS

    def reply_to(
        self, request: SyncRequest, *, store_away: bool, grace: float = 0.0, held: float = 0.0
    ) -> SyncReply:
        """Return the reply, with all changes that the requester has not received."""
        now = self._clock.now()
        age = self._age.seconds(now)
        suspected, cleared = self._suspicions_for(request)
        return SyncReply(
            self._changed_peers_for(request),
            self._process,
            self._directory.revision,
            self._exchange.since(request.configuration),
            store_away,
            self._suspicions.revision,
            suspected,
            cleared,
            *self._evacuations_for(request),
            *self._crashes_for(request),
            confirmed=self._lease.age(now),
            era=self._era.current,
            grace=grace,
            age=math.inf if age is None else age,
            held=held,
        )

    def _evacuations_for(self, request: SyncRequest) -> tuple[int, list[DataCentre]]:
        known = self._evacuations
        if known.revision <= request.evacuations:
            return -1, []
        return known.revision, sorted(known.data_centres)

    def _crashes_for(self, request: SyncRequest) -> tuple[int, list[CrashReport]]:
        service = request.sender.service
        digest = self._crashes.digest(service)
        if digest == request.crash_digest:
            return digest, []
        return digest, self._crashes.reports(service, self._clock.now())

    def _apply_reports(self, request: SyncRequest) -> None:
        """Apply the reachability reports of the requester and those of this node."""
        table = self._suspicions
        now = self._clock.now()
        before = table.revision
        requester = request.sender.node
        if self._process_by_requester.get(requester) != request.process:
            # A new process has just started, so it accepts connections again.
            self._process_by_requester[requester] = request.process
            table.reached(requester, now)
        table.report(requester, request.findings, now)
        self._directory.reachability_reports.relay(requester, request.findings, now)
        table.report(
            self._directory.me.node, self._directory.reachability_reports.current(now), now
        )
        suspected, cleared = table.since(before)
        self._directory.others_suspect(suspected, now)
        self._directory.others_reached(cleared)

    def _suspicions_for(self, request: SyncRequest) -> tuple[list[NodeId], list[NodeId]]:
        """Return the nodes suspected and cleared since the requester's last revision."""
        if not request.wants_news:
            return [], []
        return self._suspicions.since(request.suspicions if request.source == self._process else 0)

    def _changed_peers_for(self, request: SyncRequest) -> list[Peer]:
        directory = self._directory
        if not request.wants_news or request.digest == directory.digest:
            return []
        if request.source == self._process:
            return directory.peers_since(request.revision)
        return directory.peers()
