package org.radishthread.daemon.administration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An HTTP response of the administration port with a JSON body.
 *
 * @param status the HTTP status
 * @param body the body
 */
record JsonResponse(int status, JsonNode body) {
}
