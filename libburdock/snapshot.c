#include "snapshot.h"

#include <stdlib.h>

BurdockSnapshot *
burdock_snapshot_new (BurdockConfig *config)
{
  BurdockSnapshot *snapshot = calloc (1, sizeof *snapshot);

  snapshot->references = 1;
  snapshot->config = config != NULL ? burdock_config_ref (config) : NULL;
  return snapshot;
}

BurdockSnapshot *
burdock_snapshot_ref (BurdockSnapshot *snapshot)
{
  __atomic_add_fetch (&snapshot->references, 1, __ATOMIC_RELAXED);
  return snapshot;
}

void
burdock_snapshot_unref (BurdockSnapshot *snapshot)
{
  if (snapshot == NULL)
    return;
  if (__atomic_sub_fetch (&snapshot->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  burdock_config_unref (snapshot->config);
  free (snapshot->upstreams);
  free (snapshot->entries);
  free (snapshot->shares);
  free (snapshot);
}
