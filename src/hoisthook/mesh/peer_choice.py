"""Chooses the node that a request is sent to next."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.admission.slow_periods import SLOW_FACTOR
from hoisthook.admission.work_times import WORK_SHARE_OF_TARGET

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from hoisthook.identity import NodeId
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.peer_directory import PeerDirectory
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.clock import Randomness
    from hoisthook.traffic.evacuations import Evacuations

# A node is assumed to refuse a request only on a load report that is at most this old.
MAX_REPORT_AGE_SECONDS = 0.08
# Scores within this distance of the best count as equal; a node is drawn from them at random.
SCORE_TOLERANCE = 0.05
# Weight in a node's score of its share of failed answers above the usual share of the service.
FAILURE_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Weights of a choice.

    Attributes
    ----------
    data_centre_cost : float
        Cost of sending a request to another data centre, as a share of its target latency.
    """

    data_centre_cost: float


class PeerChoice:
    """Chooses the node with the lowest expected response time.

    A node's score is its expected time as a share of the target latency, with additions for
    another data centre and for failed answers; the lowest is best.

    Parameters
    ----------
    directory : PeerDirectory
        Known nodes, by the service of their backend server.
    settings : ChoiceSettings
        Weights.
    evacuations : Evacuations
        Data centres that receive no requests.
    randomness : Randomness
        Draws among nodes with equal scores.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        settings: ChoiceSettings,
        evacuations: Evacuations,
        randomness: Randomness,
    ) -> None:
        self._directory = directory
        self._evacuations = evacuations
        self._settings = settings
        self._randomness = randomness

    def direct(self, call: RoutedCall, excluded: Collection[NodeId], now: float) -> PeerView | None:
        """Return an available node that is likely to start the request at once, or None."""
        views = [
            view
            for view in self._available(call, excluded, now)
            if not _is_likely_to_refuse(view, call, now)
        ]
        return self._best(views, call, now)

    def queue(self, call: RoutedCall, excluded: Collection[NodeId], now: float) -> PeerView | None:
        """Return the node at which the request is likely to finish first, or None.

        Suspected and temporarily closed nodes are considered only if no other node is left.
        """
        views = list(self._available(call, excluded, now))
        if not views:
            views = [
                v for v in self._outside_evacuations(call.service) if v.peer.node not in excluded
            ]
        if call.arrival.is_repeat:
            views = [view for view in views if view.no_repeats_until <= now]
        return self._best(views, call, now)

    def to_probe(self, call: RoutedCall, now: float) -> PeerView | None:
        """Return a suspected node to which a test connection should be opened, or None.

        A node is returned about as often as it would be chosen if it were not suspected, so that
        there are never more probes than requests that would have gone to the node, and none for
        a service without requests.
        """
        serving = self._outside_evacuations(call.service)
        probeable = [view for view in serving if view.suspected and view.closed_until <= now]
        if not probeable:
            return None
        index = self._randomness.randrange(len(serving))
        return probeable[index] if index < len(probeable) else None

    def _available(
        self, call: RoutedCall, excluded: Collection[NodeId], now: float
    ) -> Iterator[PeerView]:
        for view in self._outside_evacuations(call.service):
            if view.suspected or view.closed_until > now:
                continue
            if call.arrival.is_repeat and view.no_repeats_until > now:
                continue
            if view.peer.node not in excluded:
                yield view

    def _outside_evacuations(self, service: ServiceName) -> Collection[PeerView]:
        """Return the nodes of a service that are outside evacuated data centres."""
        serving = self._directory.serving(service)
        if not self._evacuations.data_centres:
            return serving
        return [view for view in serving if view.peer.data_centre not in self._evacuations]

    def _best(self, views: list[PeerView], call: RoutedCall, now: float) -> PeerView | None:
        if not views:
            return None
        usual_failure_share = self._usual_failure_share(call, now)
        scored = [(self._score(view, usual_failure_share, now), view) for view in views]
        max_score = min(score for score, _ in scored) + SCORE_TOLERANCE
        best = [view for score, view in scored if score <= max_score]
        return best[self._randomness.randrange(len(best))]

    def _usual_failure_share(self, call: RoutedCall, now: float) -> float:
        """Return the usual share of failed answers of a service: the lower median of its nodes.

        When a service that all its backend servers depend on fails, all of them answer with
        failures. Compared with zero, the near nodes with a load report then scored worse than
        nodes without one: 47 to 95 % of the requests went to other data centres, compared with
        1 % before, and were served no better there.
        """
        serving = self._directory.serving(call.service)
        failure_shares = sorted(
            view.expected_failing(now) for view in serving if view.load is not None
        )
        return failure_shares[(len(failure_shares) - 1) // 2] if failure_shares else 0.0

    def _score(self, view: PeerView, usual_failure_share: float, now: float) -> float:
        load_share = view.expected_load_share(now)
        score = (
            WORK_SHARE_OF_TARGET * view.expected_slowdown(now) * (1.0 + _load_slowdown(load_share))
        )
        if not view.same_data_centre:
            score += self._settings.data_centre_cost
        return score + FAILURE_WEIGHT * max(0.0, view.expected_failing(now) - usual_failure_share)


def _load_slowdown(load_share: float) -> float:
    """Return the relative increase of the execution time at a given share of slots in use."""
    if load_share < 1.0:
        return 0.2 * load_share
    return 0.2 + 2.0 * (load_share - 1.0)


def _is_likely_to_refuse(view: PeerView, call: RoutedCall, now: float) -> bool:
    load = view.load
    if load is None or view.age(now) > MAX_REPORT_AGE_SECONDS:
        return False
    if load.running >= load.limit or load.waiting > 0:
        return True
    expected = load.slowdown * WORK_SHARE_OF_TARGET * call.target_latency
    return load.slowdown >= SLOW_FACTOR and expected > call.target_left(now)
