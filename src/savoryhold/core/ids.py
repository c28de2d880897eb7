"""Identifiers used throughout the project."""

import dataclasses
from typing import NewType

__all__ = [
    'Epoch',
    'NodeId',
    'ObjectName',
    'Region',
    'RequestId',
    'ServiceName',
    'ShardId',
    'ShardKey',
    'Version',
    'WriteId',
    'Zone',
    'config_object',
    'node_object',
    'service_object',
]

NodeId = NewType('NodeId', str)
ServiceName = NewType('ServiceName', str)
ShardId = NewType('ShardId', int)
Epoch = NewType('Epoch', int)
Version = NewType('Version', int)
RequestId = NewType('RequestId', str)
Region = NewType('Region', str)
Zone = NewType('Zone', str)
ObjectName = NewType('ObjectName', str)
WriteId = NewType('WriteId', int)

NODE_PREFIX = 'node/'
SERVICE_PREFIX = 'service/'
CONFIG_PREFIX = 'config/'


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class ShardKey:
    """A shard of one service."""

    service: ServiceName
    shard: ShardId

    def __str__(self) -> str:
        """Return ``service/shard``."""
        return f'{self.service}/{self.shard}'


def node_object(node: NodeId) -> ObjectName:
    """Return the name of a node's record in the platform's object API."""
    return ObjectName(NODE_PREFIX + node)


def service_object(service: ServiceName) -> ObjectName:
    """Return the name of the object with a service's first assignment."""
    return ObjectName(SERVICE_PREFIX + service)


def config_object(service: ServiceName) -> ObjectName:
    """Return the name of a service's configuration object."""
    return ObjectName(CONFIG_PREFIX + service)
