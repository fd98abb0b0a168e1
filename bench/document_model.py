"""Random histories of nodes that adopt configurations and choose endpoints.

Each node is the tables of one process; all processes share a simulated clock.
The model collects the effects of a node as values, and answers them later in
any order or drops them. The platform can lose the configurations that it
accepted last, as if it had come back from an older copy; the operator writes
the newest one again before any other.

Invariants: the active generation of a process never decreases. A process
serves nothing before it has a configuration. A process places no call on an
endpoint that is leaving according to the messages that it has received, or
whose newest received report is older than 2 s. At the end of a history, with
the platform up, each process receives the newest configuration by its watch.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from concurrent.futures import Future

from bench import document_checks as checks
from bench import document_fixtures
from bench.document_checks import HistoryCounts, Process
from bench.document_fixtures import ENDPOINTS, VMS
from bench.document_store import ConfigurationStore
from burdockspan.configuration.adoption import (
    INITIAL_FETCH_TIMEOUT_S,
    generation_of,
)
from burdockspan.configuration.document import Configuration
from burdockspan.node import actor, effects, messages
from burdockspan.node.context import Context
from burdockspan.values.endpoint import LoadReport

Choose = Callable[[int], int]
"""Returns a whole number from 0 to below its argument."""

_STEPS = 120
_LOST_WRITES_LIMIT = 3
_OTHER_WRITES_LIMIT = 3
# The first watch call may end with a new era, the second reads everything.
_FINAL_WATCH_CALLS = 3
_TICK_INTERVALS_S = (0.01, 0.01, 0.05, 0.05, 0.05, 0.25, 0.6, 1.1, 2.1)


class History:
    """A run of random steps with a few processes and a platform."""

    def __init__(self, choose: Choose) -> None:
        self.choose = choose
        self.now_s = 1000.0
        self.platform_up = True
        self.store = ConfigurationStore(document_fixtures.make_configuration(1))
        self.boots = dict.fromkeys(ENDPOINTS, 1)
        self.leaving: set[str] = set()
        self.vm_list_version = 1
        self.listed_leaving: frozenset[str] = frozenset()
        self.counts = HistoryCounts()
        self.processes = [Process(n, self.now_s) for n in range(len(VMS))]
        # A delivery is dropped if its process has been restarted since.
        self.pending: list[tuple[Process, Callable[[], None]]] = []
        self._request_numbers = itertools.count()

    def run(self) -> HistoryCounts:
        """Runs the steps and returns their counts."""
        actions = (
            *(self._tick,) * 6,
            *(self._deliver_pending,) * 8,
            *(self._submit,) * 8,
            *(self._report,) * 8,
            self._accept,
            self._lose_writes,
            self._restart,
            self._toggle_platform,
            self._change_endpoint,
            self._list_vms,
            self._watch,
            self._offer_stale,
        )
        self._warm_up()
        for _ in range(_STEPS):
            action = actions[self.choose(len(actions))]
            self.counts.steps.append(action.__name__.strip("_"))
            action()
        self._check_convergence()
        return self.counts

    def _warm_up(self) -> None:
        """Starts all processes with the first configuration and VM list."""
        vm_list = document_fixtures.make_vm_list(1, frozenset())
        first = messages.ConfigurationReceived(
            messages.PLATFORM_SOURCE, self.store.current
        )
        for process in self.processes:
            self.handle(process, messages.Tick())
            self.handle(process, first)
            self.handle(process, messages.VmListReceived(vm_list))
        self.now_s += INITIAL_FETCH_TIMEOUT_S
        for process in self.processes:
            self.handle(process, messages.Tick())

    def handle(self, process: Process, message: object) -> None:
        """Lets a process handle a message and collects its effects."""
        context = Context(
            process.settings, self._clock, self._clock, lambda: 0.5
        )
        _, following = actor.handle(process.tables, message, context)
        for effect in following:
            self._collect(process, effect)
        checks.check_process(process, self.now_s, self.counts)

    def _clock(self) -> float:
        return self.now_s

    def _choose_process(self) -> Process:
        return self.processes[self.choose(len(self.processes))]

    def _tick(self) -> None:
        self.now_s += _TICK_INTERVALS_S[self.choose(len(_TICK_INTERVALS_S))]
        self.handle(self._choose_process(), messages.Tick())

    def _deliver_pending(self) -> None:
        if self.pending:
            index = self.choose(len(self.pending))
            process, deliver = self.pending.pop(index)
            if process in self.processes:
                deliver()

    def _accept(self) -> None:
        if not self.platform_up:
            return
        if self.store.has_lost_newest:
            self._write(self.store.newest)
            return
        drained = self.choose(len(ENDPOINTS) + 2)
        configuration = document_fixtures.make_configuration(
            self.store.current.generation + 1,
            ENDPOINTS[drained : drained + 1],
            self.now_s + self.choose(4) - 1.0,
        )
        self._write(configuration)
        self.counts.accepted += 1

    def _write(self, configuration: Configuration) -> None:
        self.store.write(configuration, self.choose(_OTHER_WRITES_LIMIT))

    def _lose_writes(self) -> None:
        if self.choose(2):
            self.store.lose_writes(1 + self.choose(_LOST_WRITES_LIMIT))
            self.counts.losses += 1

    def _restart(self) -> None:
        if self.choose(4):
            return
        number = self.choose(len(VMS))
        before = self.processes[number].generation
        self.processes[number] = Process(number, self.now_s)
        self.processes[number].observer.generation_before_restart = before
        self.counts.restarts += 1

    def _toggle_platform(self) -> None:
        if self.platform_up or self.choose(2):
            self.platform_up = not self.platform_up

    def _change_endpoint(self) -> None:
        name = ENDPOINTS[self.choose(len(ENDPOINTS))]
        if name in self.leaving:
            self.leaving.discard(name)
            self.boots[name] += 1
        elif self.choose(3) == 0:
            self.leaving.add(name)

    def _list_vms(self) -> None:
        if self.choose(3) == 0:
            self.vm_list_version += 1
            self.listed_leaving = frozenset(self.leaving)
        version = self.vm_list_version - self.choose(2)
        if version == self.vm_list_version:
            vm_list = document_fixtures.make_vm_list(
                version, self.listed_leaving
            )
            self.handle(
                self._choose_process(), messages.VmListReceived(vm_list)
            )

    def _report(self) -> None:
        """Delivers the response of an endpoint to a poll, at once or late."""
        process = self._choose_process()
        name = ENDPOINTS[self.choose(len(ENDPOINTS))]
        report = document_fixtures.make_report(
            name, self.boots[name], name in self.leaving, self.now_s
        )
        if self.choose(2):
            self._deliver_report(process, report)
        else:
            self.pending.append(
                (process, lambda: self._deliver_report(process, report))
            )

    def _deliver_report(self, process: Process, report: LoadReport) -> None:
        process.observer.record_report(report, self.now_s, process.tables)
        self.handle(
            process, document_fixtures.make_polled(report, report.measured_s)
        )

    def _watch(self) -> None:
        if self.platform_up:
            process = self._choose_process()
            for configuration in self._advance_watch(process):
                self._deliver_configuration(
                    process, messages.PLATFORM_SOURCE, configuration, False
                )

    def _advance_watch(self, process: Process) -> list[Configuration]:
        """Makes one call of a watch; returns the new configurations."""
        step = self.store.watch(process.watch)
        process.watch = step.state
        return [event.value for event in step.events]

    def _check_convergence(self) -> None:
        """Accepts a last configuration, which each watch must deliver."""
        self.platform_up = True
        while self.store.has_lost_newest:
            self._accept()
        self._accept()
        newest = self.store.current
        for process in self.processes:
            self.handle(process, messages.Tick())
            for _ in range(_FINAL_WATCH_CALLS):
                for configuration in self._advance_watch(process):
                    message = messages.ConfigurationReceived(
                        messages.PLATFORM_SOURCE, configuration
                    )
                    self.handle(process, message)
        # Ends the initial fetch of processes that have just started.
        self.now_s += INITIAL_FETCH_TIMEOUT_S
        for process in self.processes:
            self.handle(process, messages.Tick())
            checks.check_convergence(
                process, newest.generation, self.now_s, self.counts
            )

    def _offer_stale(self) -> None:
        """Offers the stored configuration of one process to another, late.

        This is what a process does that was suspended while newer
        configurations were adopted.
        """
        configuration = self._choose_process().tables.adoption.stored
        target = self._choose_process()
        if configuration is not None:
            message = messages.ConfigurationReceived("peer", configuration)
            self.pending.append((target, lambda: self.handle(target, message)))

    def _submit(self) -> None:
        process = self._choose_process()
        submission = document_fixtures.make_submission(
            f"{next(self._request_numbers):032x}", self.now_s
        )
        self.handle(
            process, messages.Submit(submission, lambda: False, Future())
        )

    def _collect(self, process: Process, effect: object) -> None:
        if isinstance(effect, effects.Answer):
            checks.check_answer(process, effect, self.now_s, self.counts)
        elif isinstance(effect, effects.ReadPlatform):
            configuration = self.store.current if self.platform_up else None
            source = messages.PLATFORM_SOURCE
            process.queried_sources.add(source)
            self._deliver_configuration(
                process, source, configuration, configuration is None
            )
        elif isinstance(effect, effects.PullDocuments):
            process.queried_sources.add(effect.address)
            peer = self._find_process(effect.address)
            configuration = peer.tables.adoption.stored
            newer = (
                generation_of(configuration)
                > effect.versions.configuration_generation
            )
            lost = self.choose(4) == 0
            sent_configuration = configuration if newer and not lost else None
            self._deliver_configuration(
                process, effect.address, sent_configuration, lost
            )
        elif isinstance(effect, effects.OfferConfiguration):
            self._offer(process, effect)

    def _deliver_configuration(
        self,
        process: Process,
        source: str,
        configuration: Configuration | None,
        failed: bool,
    ) -> None:
        message = messages.ConfigurationReceived(source, configuration, failed)
        self.pending.append((process, lambda: self.handle(process, message)))

    def _offer(
        self, process: Process, effect: effects.OfferConfiguration
    ) -> None:
        peer = self._find_process(effect.address)

        def arrive() -> None:
            message = messages.ConfigurationReceived(
                "peer", effect.configuration
            )
            self.handle(peer, message)
            stored = messages.ConfigurationStored(
                peer.tables.members.versions.configuration_generation
            )
            if process in self.processes:
                self.handle(process, stored)

        self.pending.append((peer, arrive))

    def _find_process(self, address: str) -> Process:
        return next(
            process
            for process in self.processes
            if process.settings.peer_address == address
        )


def run_history(choose: Choose) -> HistoryCounts:
    """Runs one history whose steps `choose` selects."""
    return History(choose).run()


__all__ = ["Choose", "HistoryCounts", "run_history"]
