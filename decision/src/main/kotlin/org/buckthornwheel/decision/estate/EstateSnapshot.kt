package org.buckthornwheel.decision.estate

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ItemKey

/** The revision that last changed an item; kept for withdrawn items too, so that outdated notes are still detected. */
@Serializable
public data class ItemChange(public val key: ItemKey, public val revision: Revision)

/** The whole estate at one revision, so that a host can start without replaying the log. */
@Serializable
public data class EstateSnapshot(
    public val revision: Revision,
    public val items: List<EstateItem>,
    public val changes: List<ItemChange>,
)
