"""Simulated prefill and decode engines that run on the event loop."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable

from bench.loop import EventLoop
from bench.workload import SERVICE, STEP_BASE_S, STEP_PER_CALL_S, Call
from burdockspan.placement import transfer
from burdockspan.placement.prefix import BLOCK_TOKENS, CacheEvent
from burdockspan.values.endpoint import Endpoint, LoadReport

_CACHED_BLOCKS_LIMIT = 250
_LOST_EVENT_SHARE = 0.01


class DecodeEngine:
    """Engine with continuous batching.

    The memory of a call stays reserved until the call ends.
    """

    def __init__(self, loop: EventLoop, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.is_alive = True
        self.pieces_by_attempt: dict[str, int] = {}
        self._loop = loop
        self._remaining_tokens: dict[str, int] = {}
        self._on_token: dict[str, Callable[[bool], None]] = {}
        self._stepping = False

    @property
    def free_pieces(self) -> int:
        """Pieces not reserved."""
        return self.endpoint.pieces - sum(self.pieces_by_attempt.values())

    def reserve(self, attempt_id: str, pieces: int) -> bool:
        """Reserves memory; False (409) if too little is free."""
        if pieces > self.free_pieces:
            return False
        self.pieces_by_attempt[attempt_id] = pieces
        return True

    def start(
        self, attempt_id: str, tokens: int, on_token: Callable[[bool], None]
    ) -> None:
        """Decodes a call; `on_token` gets True with the last token."""
        if attempt_id not in self.pieces_by_attempt:
            return
        self._remaining_tokens[attempt_id] = tokens
        self._on_token[attempt_id] = on_token
        if not self._stepping:
            self._stepping = True
            self._schedule_step()

    def release(self, attempt_id: str) -> None:
        """Cancels an attempt and releases its memory."""
        self.pieces_by_attempt.pop(attempt_id, None)
        self._remaining_tokens.pop(attempt_id, None)
        self._on_token.pop(attempt_id, None)

    def kill(self) -> tuple[str, ...]:
        """Ends the process; returns the attempts that had reserved memory."""
        self.is_alive = False
        attempt_ids = tuple(self.pieces_by_attempt)
        for attempt_id in attempt_ids:
            self.release(attempt_id)
        return attempt_ids

    def report(self) -> LoadReport:
        """Returns the current load."""
        return LoadReport(
            self.endpoint.name,
            "boot",
            False,
            self.endpoint.pieces,
            self.free_pieces,
            len(self._remaining_tokens),
            0,
            self._loop.now_s,
        )

    def _schedule_step(self) -> None:
        self._loop.call_later(
            STEP_BASE_S + STEP_PER_CALL_S * len(self._remaining_tokens),
            self._step,
        )

    def _step(self) -> None:
        for attempt_id in tuple(self._remaining_tokens):
            self._remaining_tokens[attempt_id] -= 1
            last = self._remaining_tokens[attempt_id] <= 0
            on_token = self._on_token[attempt_id]
            if last:
                self.release(attempt_id)
            on_token(last)
        self._stepping = bool(self._remaining_tokens)
        if self._stepping:
            self._schedule_step()


@dataclasses.dataclass(frozen=True)
class FinishedPrefill:
    """Result of a prefill."""

    engine: PrefillEngine
    finished_s: float
    computed_tokens: int


class PrefillEngine:
    """FIFO engine that runs one prompt at a time, with a prefix cache."""

    def __init__(
        self, loop: EventLoop, endpoint: Endpoint, max_prefills: int, seed: int
    ) -> None:
        self.endpoint = endpoint
        self.max_prefills = max_prefills
        self.link = transfer.Link()
        self.computed_tokens = 0
        self.cache_events: list[CacheEvent] = []
        self._loop = loop
        self._rng = random.Random(f"{endpoint.name} {seed}")
        self._queue: collections.deque[
            tuple[Call, Callable[[FinishedPrefill], None]]
        ] = collections.deque()
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._busy_until_s = 0.0
        self._busy = False

    @property
    def outstanding(self) -> int:
        """Prefills queued or running."""
        return len(self._queue) + self._busy

    @property
    def waiting_tokens(self) -> float:
        """Exact tokens to compute before a new prompt starts."""
        queued = sum(call.prompt_tokens for call, _ in self._queue)
        running_s = max(0.0, self._busy_until_s - self._loop.now_s)
        return queued + running_s * SERVICE.prefill_tokens_per_s

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Returns the tokens of the prefix that are cached."""
        count = 0
        while count < len(blocks) and blocks[count] in self._cache:
            count += 1
        return count * BLOCK_TOKENS

    def submit(
        self, call: Call, on_done: Callable[[FinishedPrefill], None]
    ) -> bool:
        """Queues a prefill; False (429) if the engine is at its limit."""
        if 0 < self.max_prefills <= self.outstanding:
            return False
        self._queue.append((call, on_done))
        if not self._busy:
            self._start_next()
        return True

    def report(self) -> LoadReport:
        """Returns the current load."""
        waiting = len(self._queue)
        return LoadReport(
            self.endpoint.name,
            "boot",
            False,
            0,
            0,
            int(self._busy),
            waiting,
            self._loop.now_s,
        )

    def enqueue_transfer(self, call: Call) -> float:
        """Queues a transfer on the link; returns the seconds until it ends."""
        now_s = self._loop.now_s
        backlog = transfer.backlog_bytes(self.link, SERVICE, now_s)
        self.link = transfer.enqueue_transfer(
            self.link, call.prompt_tokens, SERVICE, now_s
        )
        return transfer.transfer_time_s(call.prompt_tokens, SERVICE, backlog)

    def _start_next(self) -> None:
        call, on_done = self._queue.popleft()
        computed_tokens = call.prompt_tokens - self.cached_tokens(call.blocks)
        elapsed_s = computed_tokens / SERVICE.prefill_tokens_per_s
        self._busy = True
        self._busy_until_s = self._loop.now_s + elapsed_s
        self._loop.call_later(
            elapsed_s, lambda: self._finish(call, computed_tokens, on_done)
        )

    def _finish(
        self,
        call: Call,
        computed_tokens: int,
        on_done: Callable[[FinishedPrefill], None],
    ) -> None:
        self._busy = False
        self.computed_tokens += computed_tokens
        self._cache_blocks(call.blocks)
        if self._queue:
            self._start_next()
        on_done(FinishedPrefill(self, self._loop.now_s, computed_tokens))

    def _cache_blocks(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        self._publish(True, blocks)
        evicted = []
        while len(self._cache) > _CACHED_BLOCKS_LIMIT:
            evicted.append(self._cache.popitem(last=False)[0])
        if evicted:
            self._publish(False, tuple(evicted))

    def _publish(self, stored: bool, blocks: tuple[int, ...]) -> None:
        self._sequence += 1
        if self._rng.random() >= _LOST_EVENT_SHARE:
            self.cache_events.append(CacheEvent(self._sequence, stored, blocks))


__all__ = ["DecodeEngine", "FinishedPrefill", "PrefillEngine"]
