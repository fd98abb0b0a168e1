"""Options that the experiment compares."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Variant:
    """One combination of options.

    Attributes:
      name: name in the tables.
      sharing: optimistic, divided, owner (queue at the owner of one endpoint),
        pool_owner (queue at one VM for the whole pool) or fresh (one queue and
        exact views without delay; the bound).
      reserve: before, after or during the prefill.
      order: classes, fifo or strict.
      prefix: affinity, ignored (load only) or sticky (the holder always).
      placement: sampled, round_robin or least_outstanding.
      admission: whether calls that cannot meet their deadline are refused.
      answers_carry_load: whether the answer to a reservation tells the free
        memory of the engine.
      ahead: for a reservation after or during prefill, the share of the
        releases expected until its end that calls may count on when they are
        granted, less the calls already on the way; None to look only at the
        memory that is free now.
      links: whether the choice of a prefill engine counts the backlog of its
        link, as far as this node's own transfers tell.
      prefill_slots: most calls that a prefill engine holds before it refuses
        the next with 429; 0 for no limit.
    """

    name: str
    sharing: str = "optimistic"
    reserve: str = "before"
    order: str = "classes"
    prefix: str = "affinity"
    placement: str = "sampled"
    admission: bool = True
    answers_carry_load: bool = False
    ahead: float | None = None
    links: bool = False
    prefill_slots: int = 0


CHOSEN = Variant(
    "chosen",
    sharing="pool_owner",
    links=True,
)


def _vary(name: str, **options: object) -> Variant:
    return dataclasses.replace(CHOSEN, name=name, **options)  # type: ignore[arg-type]


BOUNDS = (
    _vary("bound, reserve before", sharing="fresh"),
    _vary("bound, reserve after", sharing="fresh", reserve="after"),
)
BASELINES = tuple(
    _vary(
        name.replace("_", " "),
        placement=name,
        sharing="optimistic",
        reserve="after",
        order="fifo",
        prefix="ignored",
        admission=False,
    )
    for name in ("round_robin", "least_outstanding")
)
CASES = (
    _vary("4 optimistic", sharing="optimistic"),
    _vary(
        "4 optimistic, load in answers",
        sharing="optimistic",
        answers_carry_load=True,
    ),
    _vary("4 divided budgets", sharing="divided"),
    _vary("4 owner per endpoint", sharing="owner"),
    _vary("4 load in answers", answers_carry_load=True),
    _vary("5 reserve after", reserve="after"),
    _vary("5 reserve during", reserve="during"),
    _vary("5 during, counted", reserve="during", ahead=0.0),
    _vary("5 during, half ahead", reserve="during", ahead=0.5),
    _vary("5 link backlog ignored", links=False),
    _vary("5 prefill refuses third", prefill_slots=2),
    _vary("6 plain fifo", order="fifo", admission=False),
    _vary("6 first in, first out", order="fifo"),
    _vary("6 strict priority", order="strict"),
    _vary("7 prefix ignored", prefix="ignored"),
    _vary("7 prefix sticky", prefix="sticky"),
)
ALL = (*BOUNDS, CHOSEN, *CASES, *BASELINES)

__all__ = ["ALL", "BASELINES", "BOUNDS", "CASES", "CHOSEN", "Variant"]
