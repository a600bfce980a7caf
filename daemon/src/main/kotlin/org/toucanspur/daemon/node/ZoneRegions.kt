/*
 * Mapping of availability zones to regions, from the settings.
 */
package org.toucanspur.daemon.node

import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

/** Returns the region of each availability zone. */
fun zoneRegions(settings: NodeConfiguration): Map<ZoneId, RegionId> =
    settings.node.zoneRegions.split(',')
        .filter { ':' in it }
        .associate { ZoneId(it.substringBefore(':')) to RegionId(it.substringAfter(':')) }
