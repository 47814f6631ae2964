"""Contract tests for implementations of the log's interface, including faults."""

import asyncio
import typing as t

from bulrushflow.recording import Log
from bulrushflow.recording import LogErrorKind

STREAM = "configuration"


class LogFixture(t.Protocol):
    """A log under test, with faults that tests can set."""

    @property
    def log(self) -> Log:
        """The connected log."""

    async def set_faults(self, down: bool = False, delay_ms: int = 0, lose: int = 0) -> None:
        """Replace the faults in force."""

    async def trim(self, keep: int) -> None:
        """Remove all but the ``keep`` newest records."""

    async def trim_older(self, age_ms: int) -> None:
        """Remove records older than ``age_ms`` milliseconds."""

    async def stop(self) -> None:
        """Close the log and stop its server."""


class LogContract:
    """Tests to mix into an ``IsolatedAsyncioTestCase`` that sets ``fixture``."""

    fixture: LogFixture
    appends_per_s = 20
    """Rate limit of the log under test."""

    async def test_offsets_count_up_and_reads_return_bytes_unchanged(self: t.Any) -> None:
        bodies = [b"", b"\x00\xff", "zadruga Vrtičkarjev".encode()]
        for offset, body in enumerate(bodies):
            self.assertEqual((await self.fixture.log.append(STREAM, body)).unwrap(), offset)
        page = (await self.fixture.log.read(STREAM, 1)).unwrap()
        self.assertEqual([(r.offset, r.body) for r in page.records], list(enumerate(bodies))[1:])
        self.assertEqual(page.next_offset, 3)
        tail = (await self.fixture.log.tail(STREAM, 2)).unwrap()
        self.assertEqual([r.offset for r in tail.records], [1, 2])

    async def test_streams_are_separate_and_an_unknown_one_reads_empty(self: t.Any) -> None:
        await self.fixture.log.append(STREAM, b"x")
        for read in (self.fixture.log.read("other", 0), self.fixture.log.tail("other", 5)):
            page = (await read).unwrap()
            self.assertEqual((page.records, page.next_offset), ((), 0))

    async def test_a_waiting_read_returns_with_the_next_append(self: t.Any) -> None:
        reading = asyncio.create_task(self.fixture.log.read(STREAM, 0, wait_s=60.0))
        await asyncio.sleep(0)
        await self.fixture.log.append(STREAM, b"x")
        page = (await asyncio.wait_for(reading, 30)).unwrap()
        self.assertEqual([r.body for r in page.records], [b"x"])

    async def test_a_read_beyond_the_end_returns_the_actual_next_offset(self: t.Any) -> None:
        await self.fixture.log.append(STREAM, b"x")
        page = (await self.fixture.log.read(STREAM, 7)).unwrap()
        self.assertEqual((page.records, page.next_offset), ((), 1))

    async def test_reading_a_trimmed_offset_returns_the_first_kept_one(self: t.Any) -> None:
        for trim in (self.fixture.trim(2), self.fixture.trim_older(0)):
            for _ in range(3):
                (await self.fixture.log.append(STREAM, b"x")).unwrap()
            await asyncio.sleep(0.005)
            await trim
            with self.subTest(trim=trim.__name__):
                error = (await self.fixture.log.read(STREAM, 0)).unwrap_err()
                self.assertEqual(error.kind, LogErrorKind.TRIMMED)
                kept = (await self.fixture.log.read(STREAM, error.first_offset)).unwrap()
                self.assertEqual(kept.next_offset, error.first_offset + len(kept.records))

    async def test_faults_are_errors_and_only_a_lost_response_has_an_effect(self: t.Any) -> None:
        cases: dict[str, tuple[dict[str, t.Any], int]] = {
            "down": ({"down": True}, 0),
            "responses lost": ({"lose": 1}, 1),
            "slower than the timeout": ({"delay_ms": 60_000}, 0),
        }
        for name, (faults, effect) in cases.items():
            with self.subTest(name):
                before = (await self.fixture.log.tail(STREAM, 1)).unwrap().next_offset
                await self.fixture.set_faults(**faults)
                error = (await self.fixture.log.append(STREAM, b"x")).unwrap_err()
                self.assertEqual(error.kind, LogErrorKind.UNAVAILABLE)
                await self.fixture.set_faults()
                after = (await self.fixture.log.tail(STREAM, 1)).unwrap().next_offset
                self.assertEqual(after - before, effect)

    async def test_appends_above_the_rate_limit_are_refused_without_effect(self: t.Any) -> None:
        results = [
            await self.fixture.log.append(STREAM, b"x") for _ in range(10 * self.appends_per_s)
        ]
        refused = [r.unwrap_err() for r in results if r.is_err()]
        self.assertTrue(refused)
        self.assertEqual({e.kind for e in refused}, {LogErrorKind.LIMITED})
        page = (await self.fixture.log.tail(STREAM, 1)).unwrap()
        self.assertEqual(page.next_offset, len(results) - len(refused))
