"""The HTTP endpoint for the announcements of the node's own target."""

from aiohttp import web
from result import Err
from result import Ok

from bulrushflow.documents import decode_document
from bulrushflow.targets.admission_controller import AdmissionController
from bulrushflow.targets.announcement import Announcement


def target_application(admission_controller: AdmissionController) -> web.Application:
    """Return the application that receives announcements.

    Its responses contain the number of calls in flight, which tells a draining target when it may
    stop.
    """

    async def announce(request: web.Request) -> web.Response:
        match decode_document(await request.read(), Announcement):
            case Err(reason):
                return web.json_response({"error": reason}, status=400)
            case Ok(announcement):
                pass
        await admission_controller.handle_announcement(announcement)
        return web.json_response({"in_flight": admission_controller.in_flight})

    app = web.Application()
    app.router.add_post("/announce", announce)
    return app
