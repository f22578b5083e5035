#ifndef LUG_HTTP_LISTEN_H
#define LUG_HTTP_LISTEN_H

#include <libsoup/soup.h>

gboolean lug_listen(SoupServer *server, const char *address, GError **err);

#endif
