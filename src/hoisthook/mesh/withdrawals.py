"""Withdrawals of the local backend server that are in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.mesh.withdrawal import Withdrawal

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from hoisthook.identity import InstanceId
    from hoisthook.membership.backend_incarnation import BackendIncarnation

# Withdrawals that are remembered; more incarnations than start within a minute.
MAX_WITHDRAWALS = 16


class Withdrawals:
    """Withdrawals by incarnation, oldest first."""

    def __init__(self) -> None:
        self._withdrawal_by_instance: dict[InstanceId, Withdrawal] = {}
        self._on_added: list[Callable[[], None]] = []

    def __iter__(self) -> Iterator[Withdrawal]:
        return iter(list(self._withdrawal_by_instance.values()))

    def on_added(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when an incarnation withdraws."""
        self._on_added.append(listener)

    def add(self, incarnation: BackendIncarnation, sequence: int | None = None) -> None:
        """Add the withdrawal of an incarnation.

        Parameters
        ----------
        incarnation : BackendIncarnation
            The incarnation.
        sequence : int, optional
            Sequence number of the announcement by which it withdraws; None if it does so for good.
        """
        known = self._withdrawal_by_instance.get(incarnation.instance)
        is_known = known is not None and not incarnation.is_later_than(known.incarnation)
        if known is not None and is_known and (known.is_final or sequence is not None):
            return
        self.remove(incarnation.instance)
        withdrawal = Withdrawal(incarnation.instance, incarnation.born, sequence)
        self._withdrawal_by_instance[incarnation.instance] = withdrawal
        while len(self._withdrawal_by_instance) > MAX_WITHDRAWALS:
            del self._withdrawal_by_instance[next(iter(self._withdrawal_by_instance))]
        for listener in self._on_added:
            listener()

    def remove(self, instance: InstanceId) -> None:
        """Remove a withdrawal that has been revoked, or that no announcement can follow."""
        self._withdrawal_by_instance.pop(instance, None)
