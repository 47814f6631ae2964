import asyncio
import unittest
from unittest import mock

from bulrushflow.platform import store as store_module
from bulrushflow.platform.store import PlatformStore
from bulrushflow.sidecar.records.storage import StoreErrorKind
from bulrushflow.sidecar.records.storage import StoreWrite
from tests.platform.standin import StoreStandIn


class StoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = StoreStandIn()
        self.store = PlatformStore(await self.stand_in.start())
        self.addAsyncCleanup(self.stand_in.stop)
        self.addAsyncCleanup(self.store.close)

    async def test_records_are_appended_and_read_in_order(self) -> None:
        writes = [StoreWrite("a", b"1"), StoreWrite("b", b"2")]
        self.assertEqual((await self.store.append("t", writes)).unwrap(), 0)
        page = (await self.store.read("t", 0, 0.0)).unwrap()
        self.assertEqual(
            [(r.key, r.value, r.offset) for r in page.records], [("a", b"1", 0), ("b", b"2", 1)]
        )
        self.assertEqual(page.next_offset, 2)

    async def test_a_read_waits_for_the_next_record(self) -> None:
        self.stand_in.put("t", "a", b"0")
        reading = asyncio.ensure_future(self.store.read("t", 1, 20.0))
        await asyncio.sleep(0.02)
        self.stand_in.put("t", "a", b"1")
        self.assertEqual(len((await reading).unwrap().records), 1)

    async def test_newest_reads_all_pages_without_deleted_keys(self) -> None:
        self.stand_in.page_size = 2
        for key in ("a", "b", "c", "d", "e"):
            self.stand_in.put("t", key, key.encode())
        self.stand_in.put("t", "b", b"")
        self.stand_in.put("t", "c", b"new")
        page = (await self.store.newest("t")).unwrap()
        self.assertEqual(
            {r.key: r.value for r in page.records}, {"a": b"a", "c": b"new", "d": b"d", "e": b"e"}
        )
        self.assertEqual(page.next_offset, 7)

    async def test_a_conditional_append_at_another_end_is_a_conflict(self) -> None:
        self.stand_in.put("t", "a", b"1")
        error = (await self.store.append("t", [StoreWrite("a", b"2")], expected_end=0)).unwrap_err()
        self.assertIs(error.kind, StoreErrorKind.CONFLICT)
        self.assertTrue(
            (await self.store.append("t", [StoreWrite("a", b"2")], expected_end=1)).is_ok()
        )

    async def test_errors_distinguish_refused_calls_from_unknown_outcomes(self) -> None:
        for status, kind in (
            (503, StoreErrorKind.REFUSED),
            (429, StoreErrorKind.REFUSED),
            (500, StoreErrorKind.UNKNOWN),
            (403, StoreErrorKind.UNKNOWN),
        ):
            self.stand_in.status = status
            error = (await self.store.append("t", [StoreWrite("a", b"1")])).unwrap_err()
            self.assertIs(error.kind, kind)
            self.assertIs((await self.store.read("t", 0, 0.0)).unwrap_err().kind, kind)
            self.assertIs((await self.store.newest("t")).unwrap_err().kind, kind)

    async def test_a_lost_response_is_an_unknown_outcome_without_a_retry(self) -> None:
        self.stand_in.loses_responses = True
        error = (await self.store.append("t", [StoreWrite("a", b"1")])).unwrap_err()
        self.assertIs(error.kind, StoreErrorKind.UNKNOWN)
        self.assertEqual(len(self.stand_in.records_by_topic["t"]), 1)

    async def test_a_read_of_a_trimmed_offset_is_an_error(self) -> None:
        self.stand_in.put("t", "a", b"1")
        self.stand_in.first_offset_by_topic["t"] = 1
        error = (await self.store.read("t", 0, 0.0)).unwrap_err()
        self.assertIs(error.kind, StoreErrorKind.TRIMMED)

    async def test_a_failed_connection_is_a_refused_call(self) -> None:
        await self.stand_in.stop()
        error = (await self.store.newest("t")).unwrap_err()
        self.assertIs(error.kind, StoreErrorKind.REFUSED)

    async def test_a_response_that_keeps_arriving_is_not_given_up(self) -> None:
        # Given up at a total time, it would begin anew and never end on a slow link.
        self.stand_in.put("t", "a", b"x" * 40_000)
        self.stand_in.piece_bytes = 1_000
        with (
            mock.patch.object(store_module, "CALL_TIMEOUT_S", 1.0),
            mock.patch.object(store_module, "READ_MARGIN_S", 1.0),
            mock.patch.object(store_module, "IDLE_TIMEOUT_S", 1.0),
        ):
            newest = await self.store.newest("t")
            page = await self.store.read("t", 0, 0.0)
        self.assertTrue(newest.is_ok(), newest)
        self.assertTrue(page.is_ok(), page)

    async def test_a_response_that_stops_arriving_is_given_up(self) -> None:
        self.stand_in.put("t", "a", b"x" * 4_000)
        self.stand_in.piece_bytes = 1_000
        self.stand_in.stalls = True
        with mock.patch.object(store_module, "IDLE_TIMEOUT_S", 0.05):
            error = (await self.store.read("t", 0, 0.0)).unwrap_err()
        self.assertIs(error.kind, StoreErrorKind.UNKNOWN)

    async def test_a_response_without_end_is_given_up(self) -> None:
        self.stand_in.put("t", "a", b"x" * 4_000)
        self.stand_in.piece_bytes = 10
        for name, bound in (("MAX_TRANSFER_S", 0.2), ("MAX_RESPONSE_BYTES", 100)):
            with mock.patch.object(store_module, name, bound):
                error = (await self.store.newest("t")).unwrap_err()
            self.assertIs(error.kind, StoreErrorKind.UNKNOWN)

    async def test_a_topic_without_records_is_no_response_to_a_read(self) -> None:
        # The read still waits for the topic's first record, and may be restarted.
        responses: list[None] = []
        page = await self.store.read("t", 0, 0.0, on_response=lambda: responses.append(None))
        self.assertEqual((page.unwrap().next_offset, responses), (0, []))
        self.stand_in.put("t", "a", b"1")
        await self.store.read("t", 0, 0.0, on_response=lambda: responses.append(None))
        self.assertEqual(len(responses), 1)

    async def test_each_page_names_the_era_of_the_store(self) -> None:
        self.stand_in.put("keyed.x", "a", b"1")
        self.assertEqual((await self.store.newest("keyed.x")).unwrap().era, 0)
        self.stand_in.era = 7
        self.assertEqual((await self.store.newest("keyed.x")).unwrap().era, 7)
        self.assertEqual((await self.store.read("keyed.x", 0, 0.0)).unwrap().era, 7)
        self.assertEqual((await self.store.read("keyed.none", 0, 0.0)).unwrap().era, 7)

    # Converting thousands of digits raises an error, which ended the reads of the topic.
    async def test_an_era_that_cannot_be_read_counts_as_none(self) -> None:
        self.stand_in.put("keyed.x", "a", b"1")
        for text in ("9" * 5000, "-1", "1.5", "x"):
            with self.subTest(text=text[:10]):
                self.stand_in.era_text = text
                self.assertEqual((await self.store.newest("keyed.x")).unwrap().era, 0)
