/**
 * The controller: creates its components, connects them to each other, and dispatches requests to them. Starts a
 * leader's term when this controller becomes leader, and ends the term.
 */
package org.hollypick;
