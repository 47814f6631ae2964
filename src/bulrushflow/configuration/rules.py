"""Rules for records that change services, routes and the schema level."""

import msgspec
from result import Err
from result import Ok
from result import Result

from bulrushflow.configuration.model import Configuration
from bulrushflow.configuration.model import Route
from bulrushflow.configuration.model import Service
from bulrushflow.configuration.records import EnableSchema
from bulrushflow.configuration.schemas import ALL_METHODS
from bulrushflow.configuration.schemas import ConfigureV2
from bulrushflow.configuration.schemas import RouteBodyV2


def configure(
    configuration: Configuration, offset: int, record: ConfigureV2
) -> Result[Configuration, str]:
    """Put and delete services and routes, all or nothing."""
    conflict = _base_conflict(configuration, record)
    if conflict:
        return Err(conflict)
    services = dict(configuration.services_by_name)
    for name, service in record.services.items():
        rollout = configuration.active_rollout(name)
        if rollout:
            return Err(
                f"service {name!r} has an active move: {rollout.move_id!r}, stated at offset "
                f"{rollout.offset} by {rollout.operator}"
            )
        if service is None:
            services.pop(name, None)
        else:
            services[name] = Service(name, service.version, offset)
    routes = dict(configuration.routes_by_path)
    for path, body in record.routes.items():
        if body is None:
            routes.pop(path, None)
        else:
            routes[path] = _route(path, body, offset)
    dangling = [path for path, route in routes.items() if route.service not in services]
    if dangling:
        # The smallest path: the order of routes may differ after a restore, the reason must not.
        path = min(dangling)
        return Err(f"route {path!r} points at unknown service {routes[path].service!r}")
    return Ok(
        msgspec.structs.replace(configuration, services_by_name=services, routes_by_path=routes)
    )


def _route(path: str, body: RouteBodyV2, offset: int) -> Route:
    all_methods = ALL_METHODS in body.idempotent_methods
    methods = () if all_methods else tuple(sorted(set(body.idempotent_methods)))
    timeout_ms = round(body.timeout_s * 1000)
    return Route(path, body.service, timeout_ms, all_methods, offset, methods)


def _base_conflict(configuration: Configuration, record: ConfigureV2) -> str | None:
    for key, base_offset in record.base.items():
        kind, _, name = key.partition("/")
        current: Service | Route | None
        if kind == "service":
            current = configuration.services_by_name.get(name)
        elif kind == "route":
            current = configuration.routes_by_path.get(name)
        else:
            return f"base key {key!r} is neither service/NAME nor route/PATH"
        if current is None and base_offset >= 0:
            return f"{key} changed: it is gone, the record was based on offset {base_offset}"
        if current is not None and current.offset != base_offset:
            return (
                f"{key} changed: {_publisher(configuration, current.offset)} came first, the "
                f"record was based on offset {base_offset}"
            )
    return None


def _publisher(configuration: Configuration, offset: int) -> str:
    for verdict in configuration.verdicts_by_publish_id.values():
        if verdict.offset == offset and verdict.operator:
            return f"offset {offset} by {verdict.operator}"
    return f"offset {offset}"


def enable_schema(configuration: Configuration, record: EnableSchema) -> Result[Configuration, str]:
    """Raise the schema level by one.

    Steps of one bound what a mistaken record can do: it can't enable a level that the next
    release does not support.
    """
    level = configuration.schema_level
    if record.level <= level:
        return Err(f"schema level is {level} already")
    if record.level != level + 1:
        return Err(f"schema level {record.level} does not follow level {level}")
    return Ok(msgspec.structs.replace(configuration, schema_level=record.level))
