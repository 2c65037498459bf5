"""Which node a request is sent to next."""

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

# A report this fresh is believed when it says that a peer would refuse.
FRESH_SECONDS = 0.08
# Scores this near to the best are as good; the choice among them is drawn.
TOLERANCE = 0.05
# What a backend server adds to its score for each share of failed answers above what is usual for
# its service.
FAILING_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """What a choice weighs.

    Attributes
    ----------
    data_centre_cost : float
        What a request to another data centre costs, as a share of its target latency.
    """

    data_centre_cost: float


class PeerChoice:
    """The node with the least expected time, in shares of the target latency.

    Parameters
    ----------
    directory : PeerDirectory
        Who is there.
    settings : ChoiceSettings
        What is weighed.
    evacuations : Evacuations
        Data centres to which nothing goes.
    randomness : Randomness
        Draws among equals.
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

    def direct(self, call: RoutedCall, tried: Collection[NodeId], now: float) -> PeerView | None:
        """Return an open node that is likely to start the request at once, or None."""
        views = [
            view for view in self._open(call, tried, now) if not _would_refuse(view, call, now)
        ]
        return self._best(views, call, now)

    def queue(self, call: RoutedCall, left_out: Collection[NodeId], now: float) -> PeerView | None:
        """Return the node at which the request is likely to end first, or None.

        Nodes that were closed for a while are taken if no other is left.
        """
        views = list(self._open(call, left_out, now))
        if not views:
            views = [v for v in self._allowed(call.service) if v.peer.node not in left_out]
        if call.arrival.is_repeat:
            views = [view for view in views if view.no_repeats_until <= now]
        return self._best(views, call, now)

    def to_probe(self, call: RoutedCall, now: float) -> PeerView | None:
        """Return a suspected node that a connection should be tried to, or None.

        Drawn as often as the node would be chosen were it not suspected, so that probes are
        no more than the requests that used to find out, and stop where nothing is asked.
        """
        serving = self._allowed(call.service)
        due = [view for view in serving if view.suspected and view.closed_until <= now]
        if not due:
            return None
        drawn = self._randomness.randrange(len(serving))
        return due[drawn] if drawn < len(due) else None

    def _open(
        self, call: RoutedCall, left_out: Collection[NodeId], now: float
    ) -> Iterator[PeerView]:
        for view in self._allowed(call.service):
            if view.suspected or view.closed_until > now:
                continue
            if call.arrival.is_repeat and view.no_repeats_until > now:
                continue
            if view.peer.node not in left_out:
                yield view

    def _allowed(self, service: ServiceName) -> Collection[PeerView]:
        """Return the nodes of a service that are not in an evacuated data centre."""
        serving = self._directory.serving(service)
        if not self._evacuations.data_centres:
            return serving
        return [view for view in serving if view.peer.data_centre not in self._evacuations]

    def _best(self, views: list[PeerView], call: RoutedCall, now: float) -> PeerView | None:
        if not views:
            return None
        usual = self._usual_failing(call, now)
        scored = [(self._score(view, usual, now), view) for view in views]
        bound = min(score for score, _ in scored) + TOLERANCE
        near = [view for score, view in scored if score <= bound]
        return near[self._randomness.randrange(len(near))]

    def _usual_failing(self, call: RoutedCall, now: float) -> float:
        """Return the share of failed answers that is usual for a service: the lower median.

        Load pattern: what the work calls fails, so that all backend servers of a service answer
        with failures. Compared with none, the known ones, which are near, seemed worse than
        those never heard from: 47 to 95 % of the requests went to other data centres, for 1 %
        before, and were served no better there.
        """
        serving = self._directory.serving(call.service)
        known = sorted(view.expected_failing(now) for view in serving if view.load is not None)
        return known[(len(known) - 1) // 2] if known else 0.0

    def _score(self, view: PeerView, usual_failing: float, now: float) -> float:
        share = view.expected_load_share(now)
        score = WORK_SHARE_OF_TARGET * view.expected_slowdown(now) * (1.0 + _crowding(share))
        if not view.same_data_centre:
            score += self._settings.data_centre_cost
        return score + FAILING_WEIGHT * max(0.0, view.expected_failing(now) - usual_failing)


def _crowding(share: float) -> float:
    """Return how much longer work takes where a share of the slots is in use."""
    if share < 1.0:
        return 0.2 * share
    return 0.2 + 2.0 * (share - 1.0)


def _would_refuse(view: PeerView, call: RoutedCall, now: float) -> bool:
    load = view.load
    if load is None or view.age(now) > FRESH_SECONDS:
        return False
    if load.running >= load.limit or load.waiting > 0:
        return True
    expected = load.slowdown * WORK_SHARE_OF_TARGET * call.target_latency
    return load.slowdown >= SLOW_FACTOR and expected > call.target_left(now)
