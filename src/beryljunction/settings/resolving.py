"""From the tree to the settings that one process uses: inheritance, defaults, origins.

The stronger scope names the deeper level: a value for a service wins over one for an account, that
over one for a region, that over the fleet's; of two that name the same deepest level the one that
also names the next deeper wins.
"""

from collections.abc import Iterator
from typing import Any

import attrs

from beryljunction.settings.paths import Path, Scope
from beryljunction.settings.rules import problem_of, rule_of
from beryljunction.settings.schema import (
    AccountSettings,
    FleetView,
    LimitSettings,
    ServiceSettings,
    WeightSettings,
)
from beryljunction.settings.tree import SettingsTree

__all__ = ["Origin", "Resolver", "resolve"]


@attrs.frozen
class Origin:
    """Where a value comes from.

    Attributes:
        scope: Scope that set the value; None for the default of the program.
        overridden: Weaker scopes that set a value too, strongest first.
    """

    value: Any
    scope: Scope | None
    overridden: tuple[Scope, ...] = ()


class Resolver:
    """Answers what is in force in one region."""

    def __init__(self, tree: SettingsTree, region: str) -> None:
        self._region = region
        self._by_field: dict[str, dict[Scope, Any]] = {}
        self.unusable: list[str] = []
        for path, value in tree.values().items():
            if path.scope.operator or path.scope.region not in ("", region):
                continue
            self._add(path, value)

    def origin(self, field: str, account: str = "", service: str = "") -> Origin | None:
        """Return the strongest value of a field and where it was set; None when it nowhere was."""
        by_scope = self._by_field.get(field)
        if by_scope is None:
            return None
        found = [s for s in _scopes(self._region, account, service) if s in by_scope]
        if not found:
            return None
        return Origin(by_scope[found[0]], found[0], tuple(found[1:]))

    def services(self) -> list[str]:
        """Return the services that have been declared by their kind."""
        return sorted({scope.service for scope in self._by_field.get("kind", {}) if scope.service})

    def accounts(self) -> list[str]:
        """Return the client accounts that have been declared by their key."""
        scopes = self._by_field.get("key_sha256", {})
        return sorted({scope.account for scope in scopes if scope.account})

    def account_services(self) -> list[tuple[str, str]]:
        """Return the pairs of account and service for which an account has values of its own."""
        own = {scope for by_scope in self._by_field.values() for scope in by_scope if scope.account}
        services = self.services()
        names = {f.name for f in attrs.fields(ServiceSettings)}
        accounts = {
            scope.account
            for scope in own
            if any(scope in self._by_field.get(name, {}) for name in names)
        }
        return [(account, service) for account in sorted(accounts) for service in services]

    def build(self, cls: type, prefix: str = "", account: str = "", service: str = "") -> Any:
        """Return an object of a settings class, with defaults where nothing was set."""
        values = {}
        for field in attrs.fields(cls):
            origin = self.origin(prefix + field.name, account, service)
            if origin is not None:
                value = origin.value
                values[field.name] = tuple(value) if isinstance(value, list) else value
        return cls(**values)

    def _add(self, path: Path, value: Any) -> None:
        """Keep a value that this program can use.

        A newer program may have published a field or a range that this one does not know. The
        value stays in the tree; here the next weaker scope holds, and the alarm says so.
        """
        problem = problem_of(path, value)
        if problem is None:
            self._by_field.setdefault(path.field, {})[path.scope] = value
        elif rule_of(path) is not None:
            self.unusable.append(problem)


def resolve(tree: SettingsTree, region: str) -> tuple[FleetView, list[str]]:
    """Return the settings of a region, and the problems of values that could not be used."""
    resolver = Resolver(tree, region)
    services = {s: resolver.build(ServiceSettings, service=s) for s in resolver.services()}
    accounts = {a: resolver.build(AccountSettings, account=a) for a in resolver.accounts()}
    view = FleetView(
        version=tree.version,
        services=services,
        accounts=accounts,
        limits=resolver.build(LimitSettings, "limits."),
        weights=resolver.build(WeightSettings, "weights."),
        account_services={
            (account, service): resolver.build(ServiceSettings, "", account, service)
            for account, service in resolver.account_services()
        },
    )
    return view, resolver.unusable


def _scopes(region: str, account: str, service: str) -> Iterator[Scope]:
    """Yield the scopes that hold for a place, strongest first."""
    for of_service in dict.fromkeys((service, "")):
        for of_account in dict.fromkeys((account, "")):
            for of_region in dict.fromkeys((region, "")):
                yield Scope(of_region, of_account, of_service)
