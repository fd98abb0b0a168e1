"""Relay of the stream of a decode engine, resumed if it stalls or is lost."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from result import Err

from burdockspan.endpoints import engine
from burdockspan.endpoints.engine import ResponseTimeouts
from burdockspan.endpoints.exchange import Exchange
from burdockspan.endpoints.failures import EndpointError
from burdockspan.endpoints.responses import make_protocol_failure
from burdockspan.http.completion_run import CompletionRun, make_engine_context
from burdockspan.http.event_stream import EventFilter, StreamError
from burdockspan.observe.logs import log_change
from burdockspan.values.endpoint import Endpoint
from burdockspan.values.placement import Failure, FailureKind

_RESUMES_WITHOUT_DATA_LIMIT = 3
# Limits the wait for the end of the chunked body, which usually follows the
# last event at once. If it does not arrive in time, the connection is closed
# instead of reused.
_DRAIN_TIMEOUT_S = 0.05
_RESUMABLE = (FailureKind.UNRESPONSIVE, FailureKind.CONNECTION_LOST)


class Relay:
    """Relays the stream of one decode engine, over several connections."""

    def __init__(
        self, run: CompletionRun, endpoint: Endpoint, exchange: Exchange
    ) -> None:
        self._run = run
        self._endpoint = endpoint
        self._exchange = exchange
        # urllib3 closes the connection if its iterator is dropped early, so one
        # iterator is used up to the end of the body.
        self._parts = exchange.iterate()
        self._filter = EventFilter()
        self._resumes_without_data = 0

    def iterate(self) -> Iterator[bytes]:
        """Yields complete events up to the end of the stream.

        Raises:
          EndpointError: the stream failed and could not be resumed.
        """
        while True:
            failure = None
            try:
                yield from self._relay_events()
            except EndpointError as error:
                failure = error.failure
            except StreamError as error:
                self.close()
                raise EndpointError(
                    make_protocol_failure(self._endpoint, str(error))
                ) from error
            if self._filter.done:
                self._drain()
                return
            self._resume(failure or self._make_truncated_failure())

    def close(self) -> None:
        """Closes the exchange; a complete response keeps the connection."""
        self._exchange.close()

    def _relay_events(self) -> Iterator[bytes]:
        feed = self._filter.feed
        for part in self._parts:
            events = feed(part)
            if events:
                self._resumes_without_data = 0
                yield events
                if self._filter.done:
                    return

    def _drain(self) -> None:
        self._exchange.limit_remaining_time(_DRAIN_TIMEOUT_S)
        try:
            for _ in self._parts:
                pass
        except EndpointError as error:
            log_change(
                "stream did not end after its last event",
                endpoint=self._endpoint.name,
                limit=error.failure.limit or None,
                detail=error.failure.detail,
            )
        self.close()

    def _resume(self, failure: Failure) -> None:
        self.close()
        run = self._run
        first_failure = failure
        while True:
            if (
                failure.kind not in _RESUMABLE
                or run.abort.aborted
                or run.is_past_deadline()
                or self._resumes_without_data >= _RESUMES_WITHOUT_DATA_LIMIT
            ):
                raise EndpointError(first_failure)
            self._resumes_without_data += 1
            self._filter.restart()
            run.job.context.metrics.count("streams.resumed", 1)
            idle_timeout_s = run.job.policy.stream_silence_s
            resumed = engine.resume(
                make_engine_context(run, self._endpoint),
                self._filter.last_index,
                ResponseTimeouts(
                    run.remaining_s(), idle_timeout_s, idle_timeout_s
                ),
            )
            if not isinstance(resumed, Err):
                self._exchange = resumed.ok_value
                self._parts = self._exchange.iterate()
                # The engine responds on a new connection, so its older
                # connections may have stalled and are not reused.
                address = self._endpoint.address
                run.job.context.connections.retire_connections(address)
                return
            failure = resumed.err_value

    def _make_truncated_failure(self) -> Failure:
        return Failure(
            FailureKind.CONNECTION_LOST,
            self._endpoint.name,
            "stream ended before its last event",
        )


class ClosingBody:
    """A WSGI body that runs a function when the server closes it.

    The clean-up cannot be a `finally` clause of the generator: a generator
    that was never started does not run the clause when it is closed.
    """

    def __init__(
        self, parts: Iterator[bytes], clean_up: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._clean_up = clean_up

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        """Closes the parts and cleans up; later calls have no effect."""
        clean_up, self._clean_up = self._clean_up, lambda: None
        try:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()
        finally:
            clean_up()


__all__ = ["ClosingBody", "Relay"]
