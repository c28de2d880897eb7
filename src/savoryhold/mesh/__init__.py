"""Mesh node, which runs beside each target on an operators' platform."""

from savoryhold.mesh.interface import (
    Adapter,
    Listing,
    MeshStore,
    StoreConflictError,
    StoredObject,
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
    'StoredObject',
    'TargetLeave',
    'TargetReport',
    'load_mesh_settings',
    'parse_mesh_settings',
]
