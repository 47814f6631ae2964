"""Allowances of organisations over several nodes, with real connections between them."""

import asyncio
import math
import typing as t

from msgspec.structs import replace
from result import Ok

from bulrushflow.organisations import Demand
from bulrushflow.organisations import Grant
from bulrushflow.organisations import Holding
from bulrushflow.organisations import Limit
from bulrushflow.sidecar.calls import allowance_codec
from bulrushflow.wire import messages
from tests.sidecar.fleet import Instance
from tests.sidecar.organisations import ELM
from tests.sidecar.organisations import ELM_KEY
from tests.sidecar.organisations import OAK
from tests.sidecar.organisations import OAK_KEY
from tests.sidecar.organisations import OrganisationTestCase
from tests.sidecar.organisations import organisations_configuration
from tests.waiting import until

PER_S = 4.0
BURST = 4.0
REQUESTS = 180
LIMITED: dict[str, t.Any] = OAK | {"ratePerS": PER_S, "burst": BURST}


class AllowanceTests(OrganisationTestCase):
    node_count = 3
    configuration = organisations_configuration(1, LIMITED, ELM)

    async def send(self, count: int, key: str, prefix: str) -> list[tuple[int, str]]:
        """Send requests to all nodes in turn, twelve at a time."""
        results: list[tuple[int, str]] = []
        for begin in range(0, count, 12):
            numbers = range(begin, min(count, begin + 12))
            results += await asyncio.gather(
                *(self.request(i % self.node_count, f"{prefix}-{i}", key) for i in numbers)
            )
        return results

    def homes(self, instances: t.Sequence[Instance], name: str = "oak") -> set[str | None]:
        return {item.sidecar._allowances._choice.home_of(name) for item in instances}

    async def until_one_home(self) -> Instance:
        """Wait until all nodes know the same home, which knows what they hold; return it."""
        await until(lambda: len(self.homes(self.instances)) == 1)
        key = self.homes(self.instances).pop()
        home = next(item for item in self.instances if item.sidecar._own_node_key == key)
        choices = [item.sidecar._allowances._choice for item in self.instances]
        await until(lambda: all(choice.reached_count == self.node_count for choice in choices))
        await until(lambda: not home.sidecar._allowances._home.unheard)
        return home

    async def test_all_nodes_together_keep_the_limit(self) -> None:
        await self.serve()
        await self.until_one_home()
        loop = asyncio.get_running_loop()
        begin = loop.time()
        results = await self.send(REQUESTS, OAK_KEY, "c")
        seconds = loop.time() - begin
        passed = sum(status == 200 for status, _ in results)
        limit = Limit(PER_S, BURST)
        self.assertLessEqual(passed, PER_S * seconds + BURST + limit.tolerance)
        self.assertGreater(passed, 0)
        refused = {i for i, (status, _) in enumerate(results) if status == 429}
        self.assertEqual(len(refused) + passed, REQUESTS)
        self.assertTrue(refused)
        self.assertFalse(any(self.reached(f"c-{i}") for i in refused))

    async def test_a_refusal_says_when_to_come_back_and_why(self) -> None:
        await self.serve()
        await self.until_one_home()
        await self.send(REQUESTS, OAK_KEY, "c")
        headers = {"Host": "h", "X-Id": "d", "X-Left": "9000", "Authorization": f"Bearer {OAK_KEY}"}

        async def refusal() -> tuple[str, str] | None:
            url = self.instances[0].url("callers", "/a/b")
            async with self.http.get(url, headers=headers) as response:
                if response.status != 429:
                    return None
                return response.headers["Retry-After"], await response.text()

        found = None
        while found is None:
            found = await refusal()
        self.assertTrue(0 < float(found[0]) <= 5.0, found)
        self.assertIn("oak is beyond its limit of 4 calls/s", found[1])
        metrics = "".join([await self.metrics(number) for number in range(self.node_count)])
        self.assertIn('bulrushflow_allowance_refusals_total{organisation="oak"', metrics)

    async def test_an_organisation_without_a_limit_costs_no_messages(self) -> None:
        await self.serve()
        before = [await self.metrics(number) for number in range(self.node_count)]
        results = await self.send(60, ELM_KEY, "c")
        self.assertEqual({status for status, _ in results}, {200})
        for number in range(self.node_count):
            allowances = self.instances[number].sidecar._allowances
            self.assertEqual(allowances._allowances.by_organisation, {})
        self.assertFalse(any('allowance_reports_total{outcome="answered"' in m for m in before))
        after = [await self.metrics(number) for number in range(self.node_count)]
        self.assertFalse(any('allowance_reports_total{outcome="answered"' in m for m in after))

    async def test_a_limit_that_is_withdrawn_no_longer_applies(self) -> None:
        await self.serve()
        await self.until_one_home()
        await self.send(REQUESTS, OAK_KEY, "c")
        self.store.put("keyed.op", "config", organisations_configuration(2, OAK, ELM))
        for instance in self.instances:
            await instance.until_version(2)
        results = await self.send(60, OAK_KEY, "d")
        self.assertEqual({status for status, _ in results}, {200})

    async def test_the_nodes_go_on_without_a_home_that_stopped(self) -> None:
        high = OAK | {"ratePerS": 1000.0, "burst": 1000.0}
        self.configuration = organisations_configuration(1, high, ELM)
        await self.serve()
        home = await self.until_one_home()
        others = [item for item in self.instances if item is not home]
        await home.stop()
        self.instances = others
        for number, instance in enumerate(others):
            allowances = instance.sidecar._allowances._allowances.by_organisation
            status = 0
            # Another node takes over, as the connections to the home fail.
            while status != 200 or "oak" not in allowances or allowances["oak"].offline:
                status, _ = await self.request(number, f"c-{number}", OAK_KEY)
        self.assertNotIn(home.sidecar._own_node_key, self.homes(others))
        self.assertEqual(len(self.homes(others)), 1)

    async def test_a_node_of_an_earlier_release_is_no_home(self) -> None:
        await self.serve()
        home = await self.until_one_home()
        own = home.sidecar._own_node_key
        for instance in self.instances:
            if instance is not home:
                directory = instance.sidecar.directory
                entry = directory.entry(own)
                assert entry is not None
                directory.update(own, replace(entry, divides_allowances=False))
        others = [item for item in self.instances if item is not home]
        await until(lambda: own not in self.homes(others))

    async def test_a_home_that_hangs_delays_no_request_for_longer_than_its_part(self) -> None:
        await self.serve()
        home = await self.until_one_home()
        other = next(item for item in self.instances if item is not home)

        async def hang(message: t.Any) -> None:
            await asyncio.Event().wait()

        home.sidecar._links._handlers["allowances_request"] = hang
        for i in range(REQUESTS):
            status, _ = await self.request(self.instances.index(other), f"c-{i}", OAK_KEY)
            self.assertIn(status, (200, 429))
        allowance = other.sidecar._allowances._allowances.by_organisation["oak"]
        self.assertTrue(allowance.offline)
        self.assertEqual(allowance.wanted, 0)
        metrics = await self.metrics(self.instances.index(other))
        self.assertIn("the home of the organisation doesn't answer", metrics)

    # The wait is an eighth of the latency objective, and must not be told apart from the limit.
    async def test_a_request_that_can_not_wait_for_the_answer_says_so(self) -> None:
        await self.serve()
        home = await self.until_one_home()
        other = next(item for item in self.instances if item is not home)
        retry_after_s = await other.sidecar._allowances.admit("oak", 0.0)
        allowance = other.sidecar._allowances._allowances.by_organisation["oak"]
        if retry_after_s is not None:
            self.assertFalse(allowance.offline)
            metrics = await self.metrics(self.instances.index(other))
            self.assertIn("didn't answer within the request's wait", metrics)
        else:
            # It was this node's turn to spend a token of its own.
            self.assertEqual(allowance.spent, 1)
        await until(lambda: "oak" not in other.sidecar._allowances._reports_by_organisation)


class CodecTests(OrganisationTestCase):
    node_count = 0

    async def test_messages_keep_what_they_carry(self) -> None:
        demand = Demand("oak", 2.5, 3, 1.5, 2.0, 4, 0.5)
        message = allowance_codec.request_to_message("node/a", [demand])
        decoded = messages.decode(messages.AllowancesRequest, messages.encode(message)).unwrap()
        self.assertEqual(decoded.node_key, "node/a")
        self.assertEqual(allowance_codec.demands_from_message(decoded), [demand])
        grant = Grant("oak", 1.5, 2.0, 3, 0.25, 2.0, 0.5)
        answer = messages.encode(allowance_codec.grants_to_message([grant]))
        decoded = messages.decode(messages.AllowancesAnswer, answer).unwrap()
        self.assertEqual(allowance_codec.grants_from_message(decoded), {"oak": grant})
        holding = Holding("oak", 1.5, 2.0)
        data = messages.encode(allowance_codec.holdings_to_message([holding]))
        found = messages.decode(messages.Holdings, data).map(allowance_codec.holdings_from_message)
        self.assertEqual(found, Ok([holding]))

    # A number that is none would spread through all sums, and no request would pass any more.
    async def test_numbers_that_make_no_sense_count_as_0(self) -> None:
        for odd in (math.nan, math.inf, -1.0):
            demand = Demand("oak", odd, -3, odd, odd, -4, odd)
            message = allowance_codec.request_to_message("node/a", [demand])
            found = allowance_codec.demands_from_message(message)
            self.assertEqual(found, [Demand("oak", 0.0, 0, 0.0, 0.0, 0, 0.0)])
