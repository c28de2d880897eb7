"""The mesh: one node beside each target, on an operators' platform."""

from savoryhold.mesh.interface import (
    Adapter,
    Listing,
    MeshStore,
    StoreConflictError,
    Stored,
    TargetLeave,
    TargetReport,
)
from savoryhold.mesh.settings import (
    MeshSettings,
    load_mesh_settings,
    parse_mesh_settings,
)

__all__ = [
    'Adapter',
    'Listing',
    'MeshSettings',
    'MeshStore',
    'StoreConflictError',
    'Stored',
    'TargetLeave',
    'TargetReport',
    'load_mesh_settings',
    'parse_mesh_settings',
]
