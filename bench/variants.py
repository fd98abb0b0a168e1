"""Options that the experiment compares."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Variant:
    """One combination of options.

    Attributes:
      name: name in the tables.
      sharing: how entry VMs share the engines: optimistic (each reserves by
        its own view), divided (each has a fixed part of the memory), owner
        (queue at the owner of one engine), pool_owner (queue at one VM for the
        whole pool) or fresh (one queue and exact views without delay, the
        upper bound).
      reserve: when decode memory is reserved: before, after or during the
        prefill.
      queue_order: classes (shares by priority), fifo or strict (urgent first).
      prefix: affinity, ignored (load only) or sticky (always the engine with
        the longest cached prefix).
      placement: sampled, round_robin or least_outstanding.
      admission: whether calls that cannot meet their deadline are refused.
      responses_carry_load: whether responses of engines carry a load report.
      expected_release_share: share of the memory expected to be released by
        the end of the prefill that counts as free when a call starts, less the
        memory of calls without a reservation; for a reservation after or during
        the prefill. None to count only free memory.
      link_backlog: whether the choice of a prefill engine considers the
        backlog of its link, estimated from this node's own transfers.
      max_prefills: prefills that an engine queues or runs before it refuses
        the next with 429; 0 for no limit.
    """

    name: str
    sharing: str = "optimistic"
    reserve: str = "before"
    queue_order: str = "classes"
    prefix: str = "affinity"
    placement: str = "sampled"
    admission: bool = True
    responses_carry_load: bool = False
    expected_release_share: float | None = None
    link_backlog: bool = False
    max_prefills: int = 0


CHOSEN = Variant(
    "chosen",
    sharing="pool_owner",
    link_backlog=True,
)


def _make_variant(name: str, **options: object) -> Variant:
    return dataclasses.replace(CHOSEN, name=name, **options)  # type: ignore[arg-type]


BOUNDS = (
    _make_variant("bound, reserve before", sharing="fresh"),
    _make_variant("bound, reserve after", sharing="fresh", reserve="after"),
)
BASELINES = tuple(
    _make_variant(
        name.replace("_", " "),
        placement=name,
        sharing="optimistic",
        reserve="after",
        queue_order="fifo",
        prefix="ignored",
        admission=False,
    )
    for name in ("round_robin", "least_outstanding")
)
CASES = (
    _make_variant("4 optimistic", sharing="optimistic"),
    _make_variant(
        "4 optimistic, load in answers",
        sharing="optimistic",
        responses_carry_load=True,
    ),
    _make_variant("4 divided budgets", sharing="divided"),
    _make_variant("4 owner per endpoint", sharing="owner"),
    _make_variant("4 load in answers", responses_carry_load=True),
    _make_variant("5 reserve after", reserve="after"),
    _make_variant("5 reserve during", reserve="during"),
    _make_variant(
        "5 during, counted", reserve="during", expected_release_share=0.0
    ),
    _make_variant(
        "5 during, half ahead", reserve="during", expected_release_share=0.5
    ),
    _make_variant("5 link backlog ignored", link_backlog=False),
    _make_variant("5 prefill refuses third", max_prefills=2),
    _make_variant("6 plain fifo", queue_order="fifo", admission=False),
    _make_variant("6 first in, first out", queue_order="fifo"),
    _make_variant("6 strict priority", queue_order="strict"),
    _make_variant("7 prefix ignored", prefix="ignored"),
    _make_variant("7 prefix sticky", prefix="sticky"),
)
ALL = (*BOUNDS, CHOSEN, *CASES, *BASELINES)

__all__ = ["ALL", "BASELINES", "BOUNDS", "CASES", "CHOSEN", "Variant"]
