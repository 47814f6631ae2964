"""Sidecars whose configuration has organisations, and targets that record their headers."""

import json
import typing as t

from aiohttp import web
from multidict import CIMultiDict

from tests.sidecar.fleet import FleetTestCase
from tests.sidecar.fleet import configuration
from tests.sidecar.servers import FakeTarget

OAK_KEY = "k-oak-7d1f"
ELM_KEY = "k-elm-94ab"
OAK = {"name": "oak", "apiKeys": [OAK_KEY], "priority": 3}
ELM = {"name": "elm", "apiKeys": [ELM_KEY]}


def organisations_configuration(version: int, *tenants: dict[str, t.Any]) -> bytes:
    """Return a configuration with organisations, a route for their calls and an anonymous one."""
    document = json.loads(configuration(version))
    rules = document["listeners"][0]["ruleSet"]
    anonymous = {"name": "open", "match": {"pathPrefix": "/open/"}, "allowAnonymous": True}
    rules.append(rules[0] | anonymous)
    return json.dumps(document | {"tenants": list(tenants)}).encode()


class HeaderTarget(FakeTarget):
    """Also records the headers of each request, by its id."""

    def __init__(self) -> None:
        super().__init__()
        self.headers_by_id: dict[str, CIMultiDict[str]] = {}

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        self.headers_by_id[request.headers["X-Id"]] = CIMultiDict(request.headers)
        return await super()._handle(request)


class OrganisationTestCase(FleetTestCase):
    """Nodes whose configuration has two organisations."""

    target_type = HeaderTarget
    configuration = organisations_configuration(1, OAK, ELM)

    async def request(
        self, number: int, call_id: str, key: str | None = None, path: str = "/a/b", **extra: str
    ) -> tuple[int, str]:
        """Send a request with a key; return the response's status and body."""
        headers = {"Host": "h", "X-Id": call_id, "X-Left": str(self.call_timeout_ms)} | extra
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        url = self.instances[number].url("callers", path)
        async with self.http.get(url, headers=headers) as response:
            return response.status, await response.text()

    def received_headers(self, call_id: str) -> CIMultiDict[str]:
        """Return the headers with which a call reached its target."""
        for target in self.targets:
            assert isinstance(target, HeaderTarget)
            if call_id in target.headers_by_id:
                return target.headers_by_id[call_id]
        raise AssertionError(f"{call_id} reached no target")

    def reached(self, call_id: str) -> bool:
        """Return whether a call reached a target."""
        return any(call_id in target.received for target in self.targets)
