"""The HTTP endpoint for the announcements of the node's own target."""

import msgspec
from aiohttp import web

from bulrushflow.targets.admission_controller import AdmissionController
from bulrushflow.targets.announcement import Announcement


def target_application(admission_controller: AdmissionController) -> web.Application:
    """Return the application that receives announcements.

    Its responses contain the number of calls in flight, which tells a draining target when it may
    stop.
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
