/**
 * The constants of the program, in one class for each subject. Names state units; comments give the reasons for values
 * that need one. TimingRelationsTest checks the relations between the constants on which safety and failover times
 * depend.
 */
package org.hollypick.config.constants;
