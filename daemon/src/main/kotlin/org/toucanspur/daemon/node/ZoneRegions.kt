/*
 * The places of a deployment, as the settings give them.
 */
package org.toucanspur.daemon.node

import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

/** Region of each availability zone. */
fun zoneRegions(settings: NodeConfiguration): Map<ZoneId, RegionId> =
    settings.node.zoneRegions.split(',')
        .filter { ':' in it }
        .associate { ZoneId(it.substringBefore(':')) to RegionId(it.substringAfter(':')) }
