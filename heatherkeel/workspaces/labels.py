"""Bounds the number of workspaces that metrics name."""

from __future__ import annotations

from .const import MAX_LABELS, OTHER_LABEL


class WorkspaceLabels:
    """Gives the first workspaces a label of their own, and the others a common one."""

    def __init__(self, *, max_labels: int = MAX_LABELS) -> None:
        self.max_labels = max_labels
        self.known: set[str] = set()

    def find(self, workspace: str) -> str:
        """Return a workspace's label."""
        if workspace in self.known:
            return workspace
        if len(self.known) >= self.max_labels:
            return OTHER_LABEL
        self.known.add(workspace)
        return workspace
