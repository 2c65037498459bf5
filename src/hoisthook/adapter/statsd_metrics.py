"""Sends metrics to a statsd server, in one batch per interval."""

from __future__ import annotations

from typing import TYPE_CHECKING

from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoisthook.identity import Address


class StatsdMetrics:
    """Sends counters as increments and gauges as absolute values.

    Parameters
    ----------
    address : Address
        IP address and UDP port of the server.
    prefix : str
        Prefix of each metric name.
    """

    def __init__(self, address: Address, prefix: str) -> None:
        self._client = StatsClient(address[0], address[1], prefix=prefix)
        self._sent_by_counter: dict[str, float] = {}

    def publish(self, counters: Mapping[str, float], gauges: Mapping[str, float]) -> None:
        """Send all values.

        Parameters
        ----------
        counters : mapping of str to float
            Totals since the start; the increment since the last call is sent.
        gauges : mapping of str to float
            Current values.
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
