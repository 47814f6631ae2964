"""The HTTP listener where the target beside this node announces itself."""

import msgspec
from aiohttp import web

from bulrushflow.targets.admission_controller import AdmissionController
from bulrushflow.targets.announcement import Announcement


def target_application(admission_controller: AdmissionController) -> web.Application:
    """Return the application that takes announcements.

    Its answer tells the calls in flight, so that a draining target knows when it may stop.
    """

    async def announce(request: web.Request) -> web.Response:
        try:
            announcement = msgspec.json.decode(await request.read(), type=Announcement)
        except msgspec.DecodeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        await admission_controller.handle_announcement(announcement)
        return web.json_response({"in_flight": admission_controller.in_flight})

    app = web.Application()
    app.router.add_post("/announce", announce)
    return app
