"""Metrics to a statsd server, in one burst an interval."""

from __future__ import annotations

from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoisthook.identity import Address


class StatsdMetrics:
    """Sends counters as differences and gauges as they are.

    Parameters
    ----------
    address : Address
        UDP, by IP number.
    prefix : str
        Put before each name.
    """

    def __init__(self, address: Address, prefix: str) -> None:
        self._client = StatsClient(address[0], address[1], prefix=prefix)
        self._sent_by_counter: dict[str, float] = {}

    def publish(self, counters: Mapping[str, float], gauges: Mapping[str, float]) -> None:
        """Send all values.

        Parameters
        ----------
        counters : mapping of str to float
            Totals since the start; sent as the difference to the last call.
        gauges : mapping of str to float
            Present values.
        """
        with self._client.pipeline() as pipe:
            for name, total in counters.items():
                difference = total - self._sent_by_counter.get(name, 0.0)
                self._sent_by_counter[name] = total
                if difference:
                    pipe.incr(name, difference)
            for name, value in gauges.items():
                pipe.gauge(name, value)

    def close(self) -> None:
        """Close the socket."""
        self._client.close()
