"""What a node that asks another one has not heard yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.membership.suspicion import SuspicionTable
from hoisthook.mesh.sync_messages import SyncReply

if TYPE_CHECKING:
    from hoisthook.identity import DataCentre
    from hoisthook.identity import NodeId
    from hoisthook.membership.store_era import StoreEra
    from hoisthook.mesh.peer import Peer
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.sync_messages import SyncQuestion
    from hoisthook.port.clock import Clock
    from hoisthook.retry.crash_evidence import CrashEvidence
    from hoisthook.retry.crash_evidence import CrashReport
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.traffic.configuration_exchange import ConfigurationExchange
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.evacuations import Evacuations


class SyncAnswers:
    """Takes in what questions tell, and composes answers from what this node knows.

    Parameters
    ----------
    process : str
        Names this process, whose revisions askers have had.
    directory : PeerDirectory
        Who is there.
    configuration : ConfigurationHolder
        What it has.
    evacuations : Evacuations
        Which data centres are evacuated.
    exchange : ConfigurationExchange
        Tells what others lack of the configuration.
    crashes : CrashEvidence
        Which work has ended backend servers.
    era : StoreEra
        The store's; told on.
    lease : KeyLease
        Tells how old the confirmation of keys is.
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
        self._clock = clock
        self._suspicions = SuspicionTable()
        self._process_by_asker: dict[NodeId, str] = {}

    def take(self, question: SyncQuestion) -> None:
        """Take in what a question tells of other nodes, of crashes and of the store."""
        # Before an answer is held: findings bear their age at the moment of the question.
        self._take_findings(question)
        self._crashes.merge(question.crashes, self._clock.now())
        self._era.heard(question.era)

    def take_suspicions(self, reply: SyncReply) -> None:
        """Take in which nodes another one suspects, to hand it on to those that ask here."""
        now = self._clock.now()
        self._directory.others_suspect(self._suspicions.adopt(reply.suspected, now), now)
        self._directory.others_reached(reply.cleared)
        # Where this node is a reader too, its own table knows by it which findings are old.
        for node in reply.cleared:
            self._suspicions.reached(node, now)

    def has_changes_for(self, question: SyncQuestion) -> bool:
        """Return whether operators have changed something that the asker does not have."""
        return (
            self._configuration.version > question.configuration
            or self._evacuations.revision > question.evacuations
        )

    def reply_to(self, question: SyncQuestion, *, store_away: bool) -> SyncReply:
        """Return what the asker has not heard."""
        suspected, cleared = self._suspicions_for(question)
        return SyncReply(
            self._news_for(question),
            self._process,
            self._directory.revision,
            self._exchange.since(question.configuration),
            store_away,
            self._suspicions.revision,
            suspected,
            cleared,
            *self._evacuations_for(question),
            *self._crashes_for(question),
            confirmed=self._lease.age(self._clock.now()),
            era=self._era.current,
        )

    def _evacuations_for(self, question: SyncQuestion) -> tuple[int, list[DataCentre]]:
        known = self._evacuations
        if known.revision <= question.evacuations:
            return -1, []
        return known.revision, sorted(known.data_centres)

    def _crashes_for(self, question: SyncQuestion) -> tuple[int, list[CrashReport]]:
        service = question.sender.service
        digest = self._crashes.digest(service)
        if digest == question.crash_digest:
            return digest, []
        return digest, self._crashes.reports(service, self._clock.now())

    def _take_findings(self, question: SyncQuestion) -> None:
        """Take in the asker's findings and this node's own."""
        table = self._suspicions
        now = self._clock.now()
        before = table.revision
        asker = question.sender.node
        if self._process_by_asker.get(asker) != question.process:
            # It has just started, so it takes connections again.
            self._process_by_asker[asker] = question.process
            table.reached(asker, now)
        table.report(asker, question.findings, now)
        self._directory.findings.relay(asker, question.findings, now)
        table.report(self._directory.me.node, self._directory.findings.current(now), now)
        suspected, cleared = table.since(before)
        self._directory.others_suspect(suspected, now)
        self._directory.others_reached(cleared)

    def _suspicions_for(self, question: SyncQuestion) -> tuple[list[NodeId], list[NodeId]]:
        """Return the nodes suspected and those cleared, as far as the asker has not heard."""
        if not question.wants_news:
            return [], []
        return self._suspicions.since(
            question.suspicions if question.source == self._process else 0
        )

    def _news_for(self, question: SyncQuestion) -> list[Peer]:
        directory = self._directory
        if not question.wants_news or question.digest == directory.digest:
            return []
        if question.source == self._process:
            return directory.peers_since(question.revision)
        return directory.peers()
