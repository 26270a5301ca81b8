#pragma once

/// HTTP server and client. New code includes only the header that it needs.
#include "net/http_client.h"
#include "net/http_server.h"
