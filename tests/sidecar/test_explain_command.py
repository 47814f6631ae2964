"""Explanations over HTTP, and the command ``explain``, with running nodes."""

import asyncio
import contextlib
import io
import json
import logging
import os
import tempfile
import typing as t
from unittest import mock

import cappa
from loguru import logger

from bulrushflow.operators.commands import Bulrushflow
from tests.sidecar.organisations import OAK_KEY
from tests.sidecar.organisations import OrganisationTestCase

UNKNOWN_KEY = "k-never-known-55e0"


def run_command(*arguments: str) -> tuple[int, str, str]:
    """Run ``bulrushflow explain``; return its exit status and its output."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            cappa.invoke(Bulrushflow, argv=["explain", *arguments])
            code = 0
        except cappa.Exit as exc:
            code = int(exc.code or 0)
    return code, out.getvalue(), err.getvalue()


class ExplainTests(OrganisationTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.logged = io.StringIO()
        sink = logger.add(self.logged, level="TRACE", format="{message} {extra}", backtrace=True)
        self.addCleanup(logger.remove, sink)
        handler = logging.StreamHandler(self.logged)
        logging.getLogger().addHandler(handler)
        self.addCleanup(logging.getLogger().removeHandler, handler)
        await self.serve()

    async def explain(self, query: dict[str, str], *keys: str) -> tuple[int, t.Any]:
        headers = [("Authorization", f"Bearer {key}") for key in keys]
        url = self.instances[0].url("metrics", "/explain")
        async with self.http.get(url, params=query, headers=headers) as response:
            return response.status, await response.json()

    async def command(
        self, *arguments: str, key: str | None = None, path: str = "/a/b"
    ) -> tuple[int, str, str]:
        """Run the command in a thread, against the first node."""
        url = self.instances[0].url("metrics", "")
        environment = {} if key is None else {"BULRUSHFLOW_KEY": key}
        with mock.patch.dict(os.environ, environment):
            if key is None:
                os.environ.pop("BULRUSHFLOW_KEY", None)
            return await asyncio.to_thread(
                run_command, "--node", url, "--host", "h", "--path", path, *arguments
            )

    async def test_a_node_explains_where_a_request_would_go(self) -> None:
        status, report = await self.explain({"host": "h", "path": "/a/b?x=1"}, OAK_KEY)
        self.assertEqual(status, 200)
        self.assertEqual(report["configuration"], 1)
        self.assertEqual((report["route"]["name"], report["route"]["priority"]), ("r", 3))
        self.assertEqual((report["organisation"], report["service"]), ("oak", "s1"))
        nodes = {candidate["node"] for candidate in report["candidates"]}
        self.assertEqual(nodes, {instance.settings.node_id for instance in self.instances})
        self.assertIn(report["choice"], nodes)
        self.assertIsNone(report["refusal"])
        self.assertFalse(any(target.received for target in self.targets))

    async def test_the_refusal_is_the_one_that_a_request_gets(self) -> None:
        for path, key in (("/x", None), ("/a/b", None), ("/a/b", UNKNOWN_KEY)):
            with self.subTest(path=path, key=key):
                status, body = await self.request(0, "c-1", key, path)
                _, report = await self.explain({"host": "h", "path": path}, *([key] if key else []))
                refusal = report["refusal"]
                self.assertEqual(refusal["status"], status)
                self.assertEqual(refusal["reason"], json.loads(body)["error"])

    async def test_a_question_that_cannot_be_understood_is_refused(self) -> None:
        good = {"host": "h", "path": "/a/b"}
        for query in (
            {},
            {"host": "h"},
            {"host": "h", "path": "a"},
            good | {"time_left_ms": "-1"},
            good | {"time_left_ms": "2s"},
            good | {"key": OAK_KEY},
            good | {OAK_KEY: ""},
        ):
            with self.subTest(query):
                status, report = await self.explain(query)
                self.assertEqual(status, 400)
                self.assertNotIn(OAK_KEY, report["error"])

    async def test_the_metrics_are_still_served_and_nothing_else(self) -> None:
        self.assertIn("bulrushflow_", await self.metrics(0))
        async with self.http.get(self.instances[0].url("metrics", "/else")) as response:
            self.assertEqual(response.status, 404)
        async with self.http.post(self.instances[0].url("metrics", "/explain")) as response:
            self.assertEqual(response.status, 405)

    async def test_the_command_prints_text_or_json(self) -> None:
        code, out, err = await self.command("--time-left", "2s", key=OAK_KEY)
        self.assertEqual((code, err), (0, ""))
        for part in ("route: r (h/a/)", "time left: 2 s", "organisation: oak", "choice: n-"):
            self.assertIn(part, out)
        code, out, _ = await self.command("--json", key=OAK_KEY)
        self.assertEqual((code, json.loads(out)["organisation"]), (0, "oak"))

    async def test_the_command_reads_a_key_from_a_file(self) -> None:
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(f"{OAK_KEY}\n")
            file.flush()
            code, out, _ = await self.command("--key-file", file.name, key=UNKNOWN_KEY)
        self.assertEqual(code, 0)
        self.assertIn("organisation: oak", out)

    async def test_the_command_ends_with_status_1_for_a_refusal(self) -> None:
        code, out, err = await self.command()
        self.assertEqual((code, err), (1, ""))
        self.assertIn("refused with 401: no key in configuration 1", out)

    async def test_the_command_ends_with_status_2_for_bad_input(self) -> None:
        for arguments, key, error in (
            (("--time-left", "soon"), None, "no duration"),
            (("--key-file", "/nowhere/at/all"), None, "/nowhere/at/all: No such file"),
            (("--path", "a"), None, "--path must begin with /"),
            ((), f"{OAK_KEY}\nX-Other: 1", "BULRUSHFLOW_KEY: not a key"),
            (("--node", "http://127.0.0.9:1"), None, "could not be asked"),
        ):
            with self.subTest(arguments):
                code, out, err = await self.command(*arguments, key=key)
                self.assertEqual((code, out), (2, ""))
                self.assertIn(error, err)
                self.assertNotIn(OAK_KEY, err)

    # Keys are secrets, and log files and terminals are read by many.
    async def test_no_key_appears_in_output_or_logs(self) -> None:
        outputs = []
        for key in (OAK_KEY, UNKNOWN_KEY):
            for arguments in ((), ("--json",), ("--path", "/x"), ("--node", "http://127.0.0.9:1")):
                _, out, err = await self.command(*arguments, key=key)
                outputs += [out, err]
        outputs.append(json.dumps(await self.explain({"host": "h", "path": "/"}, OAK_KEY, OAK_KEY)))
        outputs.append(await self.malformed_question())
        outputs.append(self.logged.getvalue())
        self.assertIn("malformed request", outputs[-1])
        for text in outputs:
            self.assertNotIn(OAK_KEY, text)
            self.assertNotIn(UNKNOWN_KEY, text)

    async def malformed_question(self) -> str:
        """Send a question whose header with the key can't be parsed; return the response."""
        endpoint = self.instances[0].sidecar.listeners.bound_by_setting["metrics"]
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        writer.write(
            f"GET /explain?host=h&path=/ HTTP/1.1\r\nHost: n\r\n"
            f"Authorization: Bearer {OAK_KEY}\x01\r\n\r\n".encode()
        )
        response = await reader.read()
        writer.close()
        return response.decode()
