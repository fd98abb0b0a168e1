from __future__ import annotations

import dataclasses
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from burdockspan.configuration.document import Model, Service
from burdockspan.endpoints.desired_state import (
    DesiredItem,
    DesiredRole,
    OrderState,
    choose_order,
    list_desired_weights,
    list_unconfirmed,
    record_outcome,
)
from burdockspan.endpoints.orders import Order, OrderKind, OrderOutcome
from burdockspan.values.endpoint import Pool

_STEPS = 200


def make_wanted(generation: int) -> tuple[DesiredItem, ...]:
    models = (
        Model("large", 1000, f"v{generation // 4 % 3}", ("legal", "travel")),
        Model("small", 1000, "v1"),
    )
    pool = (Pool.PREFILL, Pool.DECODE)[generation % 2]
    role = DesiredRole(pool, generation)
    return role, *list_desired_weights(Service("lm", models=models))


def make_held(generation: int) -> dict[str, str]:
    """Returns what an engine holds after all orders of a generation."""
    held = {}
    for item in make_wanted(generation):
        if isinstance(item, DesiredRole):
            held["role"] = item.pool.value
        else:
            held[f"{item.model}/{item.adapter}"] = item.version
    return held


@dataclasses.dataclass
class Engine:
    """An engine that checks fencing tokens, and what it applied."""

    boot: int = 1
    newest: int = 0
    held: dict[str, str] = dataclasses.field(default_factory=dict)

    def take(self, order: Order) -> OrderOutcome:
        if order.fencing_token < self.newest:
            return OrderOutcome.SUPERSEDED
        self.newest = order.fencing_token
        values = dict(order.arguments)
        if order.kind is OrderKind.SET_ROLE:
            self.held["role"] = values["role"]
        else:
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
    control: OrderState = dataclasses.field(default_factory=OrderState)
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
            self.sent.append(order.fencing_token)
        return order

    def answer(self, outcome: OrderOutcome | None, now_s: float) -> None:
        if self.order is not None:
            fencing_token, self.order = self.order.fencing_token, None
            self.control = record_outcome(
                self.control, fencing_token, outcome, now_s
            )

    def settle(self, action: str, engine: Engine, now_s: float) -> list[Order]:
        """Ends the pending order; returns it if it was lost on its way."""
        order = self.order
        if order is None:
            return []
        outcome = OrderOutcome.SUPERSEDED if action == "refuse" else None
        if action == "apply":
            outcome = engine.take(order)
        self.answer(outcome, now_s)
        return [order] if action == "lose" else []


_ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                *("choose", "apply", "refuse", "lose", "late"),
                *("restart", "adopt", "back"),
            )
        ),
        st.integers(0, 2),
    ),
    max_size=60,
)


_BACK = ("adopt", "choose", "apply", "back", "choose")
_REFUSED = ("choose", "refuse", "choose")
# A late order of the second owner must find that the first one, which wants
# nothing new, has raised the fencing token.
_LATE = [("choose", 0), ("apply", 0)] * 5 + [
    *(("adopt", 1), ("choose", 1), ("lose", 1), ("back", 2), ("back", 2))
]


class ControlTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_ACTIONS)
    @example([(one, 0) for one in _BACK])
    @example([(one, 0) for one in _REFUSED])
    @example(_LATE)
    def test_older_generation_is_never_sent_after_a_newer(
        self, actions: list[tuple[str, int]]
    ) -> None:
        """Guards against a reverted configuration at an endpoint."""
        engine = Engine()
        owners = [Owner(), Owner(), Owner()]
        newest = 1
        now_s = 0.0
        lost: list[Order] = []
        for action, number in actions:
            now_s += 1.0
            owner = owners[number]
            if action == "choose":
                refused = owner.control.refused_generation
                order = owner.choose(engine, now_s)
                self.assertTrue(order is None or order.fencing_token > refused)
            elif action in ("apply", "refuse", "lose"):
                lost += owner.settle(action, engine, now_s)
            elif action == "late" and lost:
                engine.take(lost[number % len(lost)])
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
        self.assertIsNone(last.choose(engine, now_s + 100.0))
        # Late copies of earlier orders change nothing any more.
        for order in lost:
            engine.take(order)
        self.assertEqual(engine.held, make_held(last.generation))

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
        self.assertEqual(list_unconfirmed(owner.control, boot, wanted), ())

    def test_restarted_endpoint_gets_everything_again(self) -> None:
        """Guards against an engine that stays without its models."""
        engine, owner = Engine(), Owner()
        for _ in range(2):
            for _ in range(_STEPS):
                order = owner.choose(engine, 0.0)
                if order is not None:
                    owner.answer(engine.take(order), 0.0)
            self.assertEqual(len(engine.held), 5)
            engine.restart()

    def test_adapter_follows_its_model(self) -> None:
        """Guards against an adapter loaded onto weights that are missing."""
        engine, owner = Engine(), Owner()
        for _ in range(6):
            order = owner.choose(engine, 0.0)
            if order is None:
                break
            self.assertNotIn("adapter", dict(order.arguments))
            owner.answer(None, 0.0)
        self.assertEqual(len(owner.sent), 3)
