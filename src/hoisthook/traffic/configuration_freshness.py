"""When a node has to verify that its configuration is still the newest."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.port.clock import Randomness
    from hoisthook.traffic.configuration_age import ConfigurationAge

# Shares of the time within which a change must be in force. A reader verifies its configuration at
# CHECK_SHARE, up to CHECK_SPREAD of that later, so that of several readers usually one does and the
# others learn of it. At STALE_SHARE a node that polls readers replaces them; the rest of the time
# suffices to poll others twice and then to read the store.
CHECK_SHARE = 0.4
CHECK_SPREAD = 0.2
STALE_SHARE = 0.6


class ConfigurationFreshness:
    """Derives from the age of the configuration when it must be verified.

    Load pattern: connections go silent, readers freeze, or the store is partitioned from some
    nodes, just before a change. None of these can be distinguished from a time without changes,
    except by the age of what is known.

    Parameters
    ----------
    apply_seconds : float
        Time after its acknowledgement within which a change must be in force.
    age : ConfigurationAge
        Age of the configuration known here.
    randomness : Randomness
        Spreads the checks of several readers.
    longest_unchecked : float
        Upper limit of the time after which a reader verifies its configuration, in seconds.
    """

    def __init__(
        self,
        apply_seconds: float,
        age: ConfigurationAge,
        randomness: Randomness,
        longest_unchecked: float = math.inf,
    ) -> None:
        self._age = age
        self._randomness = randomness
        self._check_seconds = min(CHECK_SHARE * apply_seconds, longest_unchecked)
        self.stale_seconds = STALE_SHARE * apply_seconds
        self._spread = 1.0
        age.on_confirmed(self._draw_spread)

    @property
    def check_at(self) -> float:
        """Return when a reader verifies its configuration if nothing confirms it before."""
        return self._age.as_of + self._check_seconds * self._spread

    @property
    def stale_at(self) -> float:
        """Return from when on the configuration may be out of date."""
        return self._age.as_of + self.stale_seconds

    def age(self, now: float) -> float | None:
        """Return the seconds since the configuration was known to be the newest."""
        return self._age.seconds(now)

    def _draw_spread(self) -> None:
        self._spread = 1.0 + CHECK_SPREAD * self._randomness.random()
