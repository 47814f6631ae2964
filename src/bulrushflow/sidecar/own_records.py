"""Applies what the store has of this node itself: its entry and the departures of its targets."""

import typing as t

from bulrushflow.sidecar.calls.admission_controller import AdmissionController
from bulrushflow.sidecar.calls.quarantine import Quarantine
from bulrushflow.sidecar.model import DepartedTarget
from bulrushflow.sidecar.model import NodeEntry
from bulrushflow.sidecar.model import TargetEntry
from bulrushflow.sidecar.records.registration import Registration
from bulrushflow.sidecar.settings import Endpoint


class OwnRecordReconciler:
    """Implements :class:`~bulrushflow.sidecar.records.handlers.OwnRecords`.

    The state that is loaded at the start may be another node's, from before the last records of
    this one, or may have an entry that an older write of this node replaced. So departures count
    whenever they are read, and a stored target is restored only if none of them is its own.

    :param is_loaded: returns whether the node entries were loaded once.
    :param target_endpoint: returns where the target is expected, or ``None`` without one.
    :param publish: publishes this node's entry with a target, or without one.
    """

    __slots__ = (
        "_admission",
        "_is_loaded",
        "_publish",
        "_quarantine",
        "_registration",
        "_target_endpoint",
    )

    def __init__(
        self,
        registration: Registration,
        admission: AdmissionController,
        quarantine: Quarantine,
        is_loaded: t.Callable[[], bool],
        target_endpoint: t.Callable[[], Endpoint | None],
        publish: t.Callable[[TargetEntry | None], None],
    ) -> None:
        self._registration = registration
        self._admission = admission
        self._quarantine = quarantine
        self._is_loaded = is_loaded
        self._target_endpoint = target_endpoint
        self._publish = publish

    def apply_entry(self, entry: NodeEntry | None) -> None:
        """See :meth:`OwnRecords.apply_entry`.

        On the initial load, the target in the entry is restored unless one announced itself
        already.
        """
        initial_load = not self._is_loaded()
        if entry is not None and initial_load:
            self._quarantine.restore(entry)
        if entry is not None:
            for departed in entry.departed_targets:
                self._admission.apply_departure(departed)
        self._registration.reconcile(entry)
        stored = entry.target if entry is not None else None
        if stored is None:
            return
        if stored.leaving:
            self._admission.mark_leaving(stored.process)
        if initial_load and self._admission.entry is None:
            self._restore(stored)

    def apply_departure(self, key: str, departed: DepartedTarget | None) -> None:
        """See :meth:`OwnRecords.apply_departure`."""
        self._registration.note_departure(key, stored=departed is not None)
        if departed is not None:
            self._admission.apply_departure(departed)

    def retain_departures(self, keys: t.Collection[str]) -> None:
        """See :meth:`OwnRecords.retain_departures`."""
        self._registration.retain_departures(keys)

    def _restore(self, stored: TargetEntry) -> None:
        endpoint = self._target_endpoint()
        if endpoint is None:
            return
        if not self._admission.apply_announcement(stored, endpoint, restored=True):
            # An older write replaced the entry without the target, which other nodes would use.
            self._publish(None)
