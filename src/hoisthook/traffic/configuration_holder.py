"""Holds the traffic configuration in force in this process."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoisthook.port.event_log import EventLog
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration


class ConfigurationSource(Enum):
    """Source from which a configuration was received."""

    STORE = "store"
    PEER = "peer"


class ConfigurationHolder:
    """Accepts configurations from any source and never returns to an older one.

    Parameters
    ----------
    log : EventLog
        Gets an event for each configuration that comes into force.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._current: TrafficConfiguration | None = None
        self._listeners: list[Callable[[TrafficConfiguration], None]] = []

    @property
    def current(self) -> TrafficConfiguration | None:
        """Return the configuration in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force; -1 before the first."""
        return -1 if self._current is None else self._current.version

    def on_change(self, listener: Callable[[TrafficConfiguration], None]) -> None:
        """Have ``listener`` called with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, configuration: TrafficConfiguration, source: ConfigurationSource) -> bool:
        """Put a configuration in force if it is newer.

        Returns
        -------
        bool
            Whether it was newer.
        """
        before = self.version
        if configuration.version <= before:
            return False
        self._current = configuration
        self._log.event(
            "configuration_taken",
            version=configuration.version,
            before=before,
            source=source.value,
            routes=len(configuration.routes),
        )
        for listener in self._listeners:
            listener(configuration)
        return True
