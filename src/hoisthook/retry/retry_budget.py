"""A budget that keeps retries and hedges a small share of the calls."""

from __future__ import annotations

MAX_SAVED = 10.0
START_SAVED = 1.0


class RetryBudget:
    """Each call saves ``percent`` of a try; each extra try spends a whole one.

    Over any run of ``n`` calls at most ``n * percent / 100 + MAX_SAVED`` extra
    tries are made.

    Parameters
    ----------
    percent : float
        Extra tries per hundred calls.
    """

    def __init__(self, percent: float) -> None:
        self.percent = percent
        self._saved = START_SAVED
        self.spent = 0
        self.denied = 0

    def call(self) -> None:
        """Note a first try."""
        self._saved = min(MAX_SAVED, self._saved + self.percent / 100.0)

    def take(self) -> bool:
        """Return whether an extra try may be made, and count it if so."""
        if self._saved < 1.0 or self.percent <= 0:
            self.denied += 1
            return False
        self._saved -= 1.0
        self.spent += 1
        return True

    def give_back(self) -> None:
        """Undo a `take` whose try was refused and so burdened no backend server."""
        self._saved = min(MAX_SAVED, self._saved + 1.0)
        self.spent -= 1
