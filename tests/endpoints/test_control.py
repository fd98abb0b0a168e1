from __future__ import annotations

import dataclasses
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from burdockspan.configuration.document import Model, Service
from burdockspan.endpoints.control import (
    Control,
    Load,
    choose_order,
    list_missing,
    list_wanted,
    note_answer,
)
from burdockspan.endpoints.orders import Order, OrderOutcome

_STEPS = 200


def make_wanted(version: int) -> tuple[Load, ...]:
    models = (
        Model("large", 1000, f"v{version % 3}", ("legal", "travel")),
        Model("small", 1000, "v1"),
    )
    return list_wanted(Service("lm", models=models))


@dataclasses.dataclass
class Engine:
    """An engine that checks fencing tokens, and what it applied."""

    boot: int = 1
    newest: int = 0
    applied: list[int] = dataclasses.field(default_factory=list)
    held: dict[str, str] = dataclasses.field(default_factory=dict)

    def take(self, order: Order) -> OrderOutcome:
        if order.fencing < self.newest:
            return OrderOutcome.SUPERSEDED
        self.newest = order.fencing
        self.applied.append(order.fencing)
        values = dict(order.arguments)
        name = values["model"] + "/" + values.get("adapter", "")
        self.held[name] = values["version"]
        return OrderOutcome.DONE

    def restart(self) -> None:
        self.boot += 1
        self.newest = 0
        self.held = {}


@dataclasses.dataclass
class Owner:
    """An entry VM with the generation it holds."""

    generation: int = 1
    control: Control = dataclasses.field(default_factory=Control)
    order: Order | None = None
    sent: list[int] = dataclasses.field(default_factory=list)

    def choose(self, engine: Engine, now_s: float) -> Order | None:
        self.control, order = choose_order(
            self.control,
            f"b{engine.boot}",
            make_wanted(self.generation),
            self.generation,
            now_s,
        )
        if order is not None:
            self.order = order
            self.sent.append(order.fencing)
        return order

    def answer(self, outcome: OrderOutcome | None, now_s: float) -> None:
        if self.order is not None:
            fencing, self.order = self.order.fencing, None
            self.control = note_answer(self.control, fencing, outcome, now_s)


_ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ("choose", "apply", "refuse", "lose", "restart", "adopt", "back")
        ),
        st.integers(0, 2),
    ),
    max_size=60,
)


_BACK = ("adopt", "choose", "apply", "back", "choose")


class ControlTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_ACTIONS)
    @example([(one, 0) for one in _BACK])
    def test_older_generation_is_never_sent_after_a_newer(
        self, actions: list[tuple[str, int]]
    ) -> None:
        """Guards against a reverted configuration at an endpoint."""
        engine = Engine()
        owners = [Owner(), Owner(), Owner()]
        newest = 1
        now_s = 0.0
        for action, number in actions:
            now_s += 1.0
            owner = owners[number]
            if action == "choose":
                refused = owner.control.refused
                order = owner.choose(engine, now_s)
                self.assertTrue(order is None or order.fencing > refused)
            elif action == "apply" and owner.order is not None:
                owner.answer(engine.take(owner.order), now_s)
            elif action == "refuse":
                owner.answer(OrderOutcome.SUPERSEDED, now_s)
            elif action == "lose":
                owner.answer(None, now_s)
            elif action == "restart":
                engine.restart()
            elif action == "adopt":
                newest += 1
                owner.generation = newest
            elif action == "back":
                # Adoption forbids this; the order of tokens holds without it.
                owner.generation = max(1, owner.generation - 1)
        for owner in owners:
            self.assertEqual(owner.sent, sorted(owner.sent))
        # Whichever entry VM owns the engine next brings it to the newest
        # generation, whatever the earlier owners left behind.
        last = owners[len(actions) % 3]
        last.generation = newest + 1
        last.answer(None, now_s)
        for _ in range(_STEPS):
            now_s += 1.0
            order = last.choose(engine, now_s)
            if order is not None:
                last.answer(engine.take(order), now_s)
        wanted = make_wanted(last.generation)
        self.assertEqual(
            engine.held,
            {f"{load.model}/{load.adapter}": load.version for load in wanted},
        )
        self.assertIsNone(last.choose(engine, now_s + 100.0))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.booleans(), max_size=20))
    def test_orders_are_repeated_until_confirmed(
        self, losses: list[bool]
    ) -> None:
        """Guards against a lost order, and against one without a delay."""
        engine, owner = Engine(), Owner()
        now_s = 0.0
        for lost in losses:
            order = owner.choose(engine, now_s)
            if order is None:
                break
            self.assertIsNone(owner.choose(engine, now_s))
            owner.answer(None if lost else engine.take(order), now_s)
            # Others may follow at once, the lost one only after a delay.
            other = owner.choose(engine, now_s)
            if other is not None:
                self.assertNotEqual(other.arguments, order.arguments)
                owner.answer(None, now_s)
            now_s += 20.0
        for _ in range(_STEPS):
            now_s += 20.0
            order = owner.choose(engine, now_s)
            if order is not None:
                owner.answer(engine.take(order), now_s)
        wanted = make_wanted(owner.generation)
        boot = f"b{engine.boot}"
        self.assertEqual(list_missing(owner.control, boot, wanted), ())

    def test_restarted_endpoint_gets_everything_again(self) -> None:
        """Guards against an engine that stays without its models."""
        engine, owner = Engine(), Owner()
        for _ in range(2):
            for _ in range(_STEPS):
                order = owner.choose(engine, 0.0)
                if order is not None:
                    owner.answer(engine.take(order), 0.0)
            self.assertEqual(len(engine.held), 4)
            engine.restart()

    def test_adapter_follows_its_model(self) -> None:
        """Guards against an adapter loaded onto weights that are missing."""
        engine, owner = Engine(), Owner()
        for _ in range(6):
            order = owner.choose(engine, 0.0)
            if order is None:
                break
            arguments = dict(order.arguments)
            self.assertNotIn("adapter", arguments)
            owner.answer(None, 0.0)
        self.assertEqual(len(owner.sent), 2)
