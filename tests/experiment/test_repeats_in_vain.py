"""Repeats of a service that sheds half of its requests and has exhausted its repeat budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.experiment import modelled_hop
from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.routing import admission_rate
from tests.experiment.test_retry_budget import DESK
from tests.experiment.test_retry_budget import pattern

if TYPE_CHECKING:
    import pytest

    from hoisthook.experiment.load_pattern import LoadResults
    from hoisthook.experiment.modelled_hop import ModelledHop
    from hoisthook.mesh.hop_header import Admission
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.outcome import PendingOutcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.routed_call import RoutedCall

SEEDS = (1, 2)


def test_repeats_try_few_nodes_where_most_have_no_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against repeats that try all nodes in turn when no node has capacity left."""
    sent_repeats: list[RoutedCall] = []
    original_run = modelled_hop.ModelledHop.run

    async def count_repeats(
        hop: ModelledHop, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        if call.arrival.is_repeat:
            sent_repeats.append(call)
        return await original_run(hop, view, call, admission)

    monkeypatch.setattr(modelled_hop.ModelledHop, "run", count_repeats)
    load = pattern(Disruption(DisruptionKind.SHEDS, 2.0, 12.0, strength=0.55, service=DESK))

    def play() -> tuple[list[LoadResults], int]:
        sent_repeats.clear()
        return [ModelledSystem(load, seed).play() for seed in SEEDS], len(sent_repeats)

    with_limit, repeats_with_limit = play()
    monkeypatch.setattr(admission_rate, "MIN_SHARE", 0.0)
    without_limit, repeats_without_limit = play()
    assert repeats_with_limit < 0.75 * repeats_without_limit
    assert (
        sum(results.share for results in with_limit)
        > sum(results.share for results in without_limit) - 0.02
    )
