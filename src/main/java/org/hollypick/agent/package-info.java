/**
 * Protocol between controllers and the agents on the machines: the client for direct calls, and the decoding of
 * heartbeats and encoding of commands. An agent's heartbeats list its tasks; commands launch, kill and clear them.
 */
package org.hollypick.agent;
