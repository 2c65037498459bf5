"""A budget that limits retries and hedges to a small share of the calls."""

from __future__ import annotations

# Extra attempts.
MAX_SAVED = 10.0
INITIAL_SAVED = 1.0


class RetryBudget:
    """Each call adds ``percent`` / 100 of an attempt; each extra attempt spends one.

    Over any series of ``n`` calls at most ``n * percent / 100 + MAX_SAVED`` extra
    attempts are made.

    Parameters
    ----------
    percent : float
        Extra attempts per hundred calls.
    """

    def __init__(self, percent: float) -> None:
        self.percent = percent
        self._saved = INITIAL_SAVED
        self.spent = 0
        self.denied = 0

    def call(self) -> None:
        """Record the first attempt of a call."""
        self._saved = min(MAX_SAVED, self._saved + self.percent / 100.0)

    def take(self) -> bool:
        """Spend an extra attempt; return whether the budget allowed it."""
        if self._saved < 1.0 or self.percent <= 0:
            self.denied += 1
            return False
        self._saved -= 1.0
        self.spent += 1
        return True

    def give_back(self) -> None:
        """Undo a `take` whose attempt was rejected and so loaded no backend server."""
        self._saved = min(MAX_SAVED, self._saved + 1.0)
        self.spent -= 1
