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


def make_desired_items(generation: int) -> tuple[DesiredItem, ...]:
    models = (
        Model("large", 1000, f"v{generation // 4 % 3}", ("legal", "travel")),
        Model("small", 1000, "v1"),
    )
    pool = (Pool.PREFILL, Pool.DECODE)[generation % 2]
    role = DesiredRole(pool, generation)
    return role, *list_desired_weights(Service("lm", models=models))


def make_engine_state(generation: int) -> dict[str, str]:
    """Returns the state of an engine after all orders of a generation."""
    state_by_item = {}
    for item in make_desired_items(generation):
        if isinstance(item, DesiredRole):
            state_by_item["role"] = item.pool.value
        else:
            state_by_item[f"{item.model}/{item.adapter}"] = item.version
    return state_by_item


@dataclasses.dataclass
class Engine:
    """An engine that checks fencing tokens, and what it applied."""

    boot: int = 1
    newest_token: int = 0
    state_by_item: dict[str, str] = dataclasses.field(default_factory=dict)

    def apply(self, order: Order) -> OrderOutcome:
        if order.fencing_token < self.newest_token:
            return OrderOutcome.SUPERSEDED
        self.newest_token = order.fencing_token
        values = dict(order.arguments)
        if order.kind is OrderKind.SET_ROLE:
            self.state_by_item["role"] = values["role"]
        else:
            name = values["model"] + "/" + values.get("adapter", "")
            self.state_by_item[name] = values["version"]
        return OrderOutcome.DONE

    def restart(self) -> None:
        self.boot += 1
        self.newest_token = 0
        self.state_by_item = {}


@dataclasses.dataclass
class Owner:
    """An entry VM that owns the engine.

    Attributes:
      generation: its current configuration generation.
      order_state: state of its orders to the engine.
      order: its pending order.
      sent: fencing tokens of its orders, in the order in which it chose them.
    """

    generation: int = 1
    order_state: OrderState = dataclasses.field(default_factory=OrderState)
    order: Order | None = None
    sent: list[int] = dataclasses.field(default_factory=list)

    def choose(self, engine: Engine, now_s: float) -> Order | None:
        self.order_state, order = choose_order(
            self.order_state,
            f"b{engine.boot}",
            make_desired_items(self.generation),
            self.generation,
            now_s,
        )
        if order is not None:
            self.order = order
            self.sent.append(order.fencing_token)
        return order

    def record(self, outcome: OrderOutcome | None, now_s: float) -> None:
        if self.order is not None:
            fencing_token, self.order = self.order.fencing_token, None
            self.order_state = record_outcome(
                self.order_state, fencing_token, outcome, now_s
            )

    def finish_pending(
        self, action: str, engine: Engine, now_s: float
    ) -> list[Order]:
        """Ends the pending order; returns it if it was lost."""
        order = self.order
        if order is None:
            return []
        outcome = OrderOutcome.SUPERSEDED if action == "refuse" else None
        if action == "apply":
            outcome = engine.apply(order)
        self.record(outcome, now_s)
        return [order] if action == "lose" else []


# Actions, each with the number of an owner or of a lost order. A pending order
# is applied, refused or lost; "late" applies a lost order; "adopt" gives the
# owner a configuration newer than all others, "back" the one before its own.
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


_REVERTED = ("adopt", "choose", "apply", "back", "choose")
_REFUSED = ("choose", "refuse", "choose")
# The first owner has nothing new to order, but its orders have raised the
# fencing token, so that a delayed order of the second owner is refused.
_LATE = [("choose", 0), ("apply", 0)] * 5 + [
    *(("adopt", 1), ("choose", 1), ("lose", 1), ("back", 2), ("back", 2))
]


class DesiredStateTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_ACTIONS)
    @example([(action, 0) for action in _REVERTED])
    @example([(action, 0) for action in _REFUSED])
    @example(_LATE)
    def test_older_generation_is_never_sent_after_a_newer(
        self, actions: list[tuple[str, int]]
    ) -> None:
        """Guards against an endpoint that returns to an older configuration."""
        engine = Engine()
        owners = [Owner(), Owner(), Owner()]
        newest = 1
        now_s = 0.0
        lost: list[Order] = []
        for action, number in actions:
            now_s += 1.0
            owner = owners[number]
            if action == "choose":
                refused = owner.order_state.refused_generation
                order = owner.choose(engine, now_s)
                self.assertTrue(order is None or order.fencing_token > refused)
            elif action in ("apply", "refuse", "lose"):
                lost += owner.finish_pending(action, engine, now_s)
            elif action == "late" and lost:
                engine.apply(lost[number % len(lost)])
            elif action == "restart":
                engine.restart()
            elif action == "adopt":
                newest += 1
                owner.generation = newest
            elif action == "back":
                # Nodes never adopt an older configuration; orders stay sorted
                # even if one did.
                owner.generation = max(1, owner.generation - 1)
        for owner in owners:
            self.assertEqual(owner.sent, sorted(owner.sent))
        # The next owner brings the engine to the newest generation from any
        # state that the earlier owners left it in.
        last = owners[len(actions) % 3]
        last.generation = newest + 1
        last.record(None, now_s)
        for _ in range(_STEPS):
            now_s += 1.0
            order = last.choose(engine, now_s)
            if order is not None:
                last.record(engine.apply(order), now_s)
        self.assertIsNone(last.choose(engine, now_s + 100.0))
        # Delayed copies of earlier orders no longer change anything.
        for order in lost:
            engine.apply(order)
        self.assertEqual(
            engine.state_by_item, make_engine_state(last.generation)
        )

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.booleans(), max_size=20))
    def test_orders_are_repeated_until_confirmed(
        self, losses: list[bool]
    ) -> None:
        """Guards against lost orders and against retries without a delay."""
        engine, owner = Engine(), Owner()
        now_s = 0.0
        for lost in losses:
            order = owner.choose(engine, now_s)
            if order is None:
                break
            self.assertIsNone(owner.choose(engine, now_s))
            owner.record(None if lost else engine.apply(order), now_s)
            # Other orders may follow at once, a lost one only after a delay.
            other = owner.choose(engine, now_s)
            if other is not None:
                self.assertNotEqual(other.arguments, order.arguments)
                owner.record(None, now_s)
            now_s += 20.0
        for _ in range(_STEPS):
            now_s += 20.0
            order = owner.choose(engine, now_s)
            if order is not None:
                owner.record(engine.apply(order), now_s)
        desired = make_desired_items(owner.generation)
        boot = f"b{engine.boot}"
        self.assertEqual(list_unconfirmed(owner.order_state, boot, desired), ())

    def test_restarted_endpoint_gets_all_orders_again(self) -> None:
        """Guards against an engine without its models after a restart."""
        engine, owner = Engine(), Owner()
        for _ in range(2):
            for _ in range(_STEPS):
                order = owner.choose(engine, 0.0)
                if order is not None:
                    owner.record(engine.apply(order), 0.0)
            self.assertEqual(len(engine.state_by_item), 5)
            engine.restart()

    def test_adapter_is_loaded_after_its_model(self) -> None:
        """Guards against an adapter whose base weights are not loaded."""
        engine, owner = Engine(), Owner()
        for _ in range(6):
            order = owner.choose(engine, 0.0)
            if order is None:
                break
            self.assertNotIn("adapter", dict(order.arguments))
            owner.record(None, 0.0)
        self.assertEqual(len(owner.sent), 3)
