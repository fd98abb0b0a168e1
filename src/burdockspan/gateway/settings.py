"""Settings of a gateway process, and their decoding from YAML."""

from __future__ import annotations

import dataclasses
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration import converters, strict_yaml
from burdockspan.configuration.fields import (
    Section,
    add_problem,
    check_distinct,
    check_keys,
    read_field,
    read_required,
)
from burdockspan.configuration.problem import Problem

_NAME = converters.text(
    r"[A-Za-z0-9][A-Za-z0-9_.-]{0,127}",
    "a name of up to 128 letters, digits, '.', '-' and '_'",
)
_MAX_THREADS = 4096
_MAX_WATCHERS = 64
_MAX_DURATION_S = 1e15
_DURATION_S = converters.quantity(converters.SECONDS, "s", 0.0, _MAX_DURATION_S)


@dataclasses.dataclass(frozen=True)
class RetryBudgetSettings:
    """Limit of the retries of a service's requests, over all VMs.

    Attributes:
      ratio: allowed retries for each request; may exceed 1.
      slack: retries allowed in each window in addition, however few requests
        there are; not necessarily a whole number.
      window_s: length of the window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class AccountQuotaSettings:
    """What the operator allows beyond the quotas of accounts.

    Attributes:
      slack: units that each account may use in addition to its burst, over all
        VMs.
    """

    slack: float = 0.0


@dataclasses.dataclass(frozen=True)
class ChangeLimits:
    """Time limits for applying changes that the store has accepted.

    Attributes:
      configuration_s: until requests are handled as a new configuration says.
      leaving_endpoint_s: until a leaving endpoint receives no more requests.
      recovery_s: until the other two limits hold again after a fault, such as
        connections that have become unresponsive.
      removed_key_s: until a removed key of an account is refused by all VMs,
        also by those that the store does not answer; None sets no limit there.
    """

    configuration_s: float = 2.0
    leaving_endpoint_s: float = 2.0
    recovery_s: float = 3.0
    removed_key_s: float | None = None


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
      vm: name of this VM, unique among the VMs.
      availability_zone: zone of this VM.
      caller_address: `ip:port` that callers connect to.
      ready_address: `ip:port` of the load balancer's readiness check.
      metrics_address: `ip:port` that serves counters and histograms; None
        serves none.
      store_address: `ip:port` of the platform's object store.
      peer_address: `ip:port` for messages of the other VMs, over UDP; None
        exchanges none.
      exchange_address: `ip:port` for the statuses of the other VMs, over UDP;
        None exchanges none.
      watchers_per_zone: VMs of an availability zone that watch the store for
        the others; 0 lets each VM watch by itself.
      threads: limit of the requests in flight.
      grace_s: time from SIGTERM to the end of the process.
      lease_s: time that must pass between orders of two different VMs.
      retry_budget: limit of retries.
      change_limits: time limits for applying changes.
      account_quotas: what is allowed beyond the quotas of accounts.
    """

    vm: str
    availability_zone: str
    caller_address: str
    ready_address: str
    store_address: str
    metrics_address: str | None = None
    peer_address: str | None = None
    exchange_address: str | None = None
    watchers_per_zone: int = 0
    threads: int = 160
    grace_s: float = 8.0
    lease_s: float = 3.0
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    change_limits: ChangeLimits = ChangeLimits()
    account_quotas: AccountQuotaSettings = AccountQuotaSettings()


def load_gateway_settings(
    path: str,
) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Reads and validates a settings file.

    Args:
      path: YAML file of at most 1 MB without aliases or duplicate keys.

    Returns:
      The settings, or every problem found, each with its file and field.
    """
    text = strict_yaml.read_file(path)
    if isinstance(text, Err):
        return text
    values = strict_yaml.read_mapping(text.ok_value, path)
    if isinstance(values, Err):
        return values
    section = Section(path, "", values.ok_value, [])
    names = (field.name for field in dataclasses.fields(GatewaySettings))
    check_keys(section, names)
    settings = _read_settings(section)
    check_distinct(
        section,
        settings,
        ("caller_address", "ready_address", "metrics_address"),
    )
    if section.problems:
        return Err(tuple(section.problems))
    return Ok(settings)


def _read_settings(section: Section) -> GatewaySettings:
    def decode_optional_address(value: object) -> Result[str | None, str]:
        return converters.LISTEN_ADDRESS(value)

    defaults = GatewaySettings
    return GatewaySettings(
        vm=read_required(section, "vm", _NAME, ""),
        availability_zone=read_required(
            section, "availability_zone", _NAME, ""
        ),
        caller_address=read_required(
            section, "caller_address", converters.LISTEN_ADDRESS, ""
        ),
        ready_address=read_required(
            section, "ready_address", converters.LISTEN_ADDRESS, ""
        ),
        store_address=read_required(
            section, "store_address", converters.CONNECT_ADDRESS, ""
        ),
        metrics_address=read_field(
            section, "metrics_address", decode_optional_address, None
        ),
        peer_address=read_field(
            section, "peer_address", decode_optional_address, None
        ),
        exchange_address=read_field(
            section, "exchange_address", decode_optional_address, None
        ),
        watchers_per_zone=read_field(
            section,
            "watchers_per_zone",
            converters.count(0, _MAX_WATCHERS),
            defaults.watchers_per_zone,
        ),
        threads=read_field(
            section,
            "threads",
            converters.count(1, _MAX_THREADS),
            defaults.threads,
        ),
        grace_s=read_field(section, "grace_s", _DURATION_S, defaults.grace_s),
        lease_s=read_field(section, "lease_s", _DURATION_S, defaults.lease_s),
        retry_budget=_read_retry_budget(section),
        change_limits=_read_change_limits(section),
        account_quotas=_read_account_quotas(section),
    )


def _open_subsection(section: Section, key: str, kind: type[Any]) -> Section:
    """Returns the mapping under a key; an empty one if there is none.

    Args:
      section: the mapping that contains the key.
      key: the key.
      kind: data class whose fields are the keys that are allowed.
    """
    value = section.values.get(key)
    if value is not None and not isinstance(value, dict):
        add_problem(section, key, value, "a mapping")
        value = None
    subsection = Section(section.file, key, value or {}, section.problems)
    check_keys(subsection, (field.name for field in dataclasses.fields(kind)))
    return subsection


def _decode_optional_duration(value: object) -> Result[float | None, str]:
    return _DURATION_S(value)


def _read_change_limits(section: Section) -> ChangeLimits:
    limits_section = _open_subsection(section, "change_limits", ChangeLimits)
    defaults = ChangeLimits()
    return ChangeLimits(
        configuration_s=read_field(
            limits_section,
            "configuration_s",
            _DURATION_S,
            defaults.configuration_s,
        ),
        leaving_endpoint_s=read_field(
            limits_section,
            "leaving_endpoint_s",
            _DURATION_S,
            defaults.leaving_endpoint_s,
        ),
        recovery_s=read_field(
            limits_section, "recovery_s", _DURATION_S, defaults.recovery_s
        ),
        removed_key_s=read_field(
            limits_section,
            "removed_key_s",
            _decode_optional_duration,
            defaults.removed_key_s,
        ),
    )


def _read_retry_budget(section: Section) -> RetryBudgetSettings:
    budget_section = _open_subsection(
        section, "retry_budget", RetryBudgetSettings
    )
    defaults = RetryBudgetSettings()
    return RetryBudgetSettings(
        ratio=read_field(
            budget_section, "ratio", converters.number, defaults.ratio
        ),
        slack=read_field(
            budget_section, "slack", converters.number, defaults.slack
        ),
        window_s=read_field(
            budget_section, "window_s", _DURATION_S, defaults.window_s
        ),
    )


def _read_account_quotas(section: Section) -> AccountQuotaSettings:
    quota_section = _open_subsection(
        section, "account_quotas", AccountQuotaSettings
    )
    return AccountQuotaSettings(
        slack=read_field(
            quota_section,
            "slack",
            converters.number,
            AccountQuotaSettings().slack,
        )
    )


__all__ = [
    "AccountQuotaSettings",
    "ChangeLimits",
    "GatewaySettings",
    "RetryBudgetSettings",
    "load_gateway_settings",
]
